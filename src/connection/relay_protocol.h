#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "connection/http_client.h"
#include "connection/http_message.h"
#include "request/relay.h"

namespace bramleyspoke {

/// What of a caller's request decides how it is relayed.
struct CallerHead {
  std::string request_id;
  /// How long the caller waits, if it says so.
  std::optional<Duration> time_allowed;
  std::string host;
  /// Without the query.
  std::string path;
};

/// How requests and answers are written between callers, daemons and leafs.
class RelayProtocol {
 public:
  virtual ~RelayProtocol() = default;

  virtual CallerHead ReadHead(const HttpRequest& request) const = 0;
  /// The request as the leaf `leaf_id` gets it.
  virtual HttpRequest MakeLeafRequest(const HttpRequest& request,
                                      const std::string& leaf_id,
                                      Duration time_left) const = 0;
  /// Whether a leaf's answer is to this request and no other.
  virtual bool IsAnswerTo(const std::string& request_id,
                          const HttpResponse& response) const = 0;
  virtual LeafReply ReadReply(HttpOutcome outcome) const = 0;

  /// A leaf's answer as the caller gets it.
  virtual HttpResponse MakeAnswer(HttpResponse response) const = 0;
  /// The greatest `limit` records of the shards' answers, of which some may be
  /// merged already.
  virtual HttpResponse MakeMergedAnswer(
      const std::vector<HttpResponse>& answers,
      std::size_t missing_shards,
      std::size_t limit) const = 0;
  virtual HttpResponse MakeRefusal(const RelayRefusal& refusal) const = 0;
  virtual HttpResponse MakeNoRoute() const = 0;
};

}  // namespace bramleyspoke
