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

/// The fields of a caller's request that decide how it is relayed.
struct CallerHead {
  std::string request_id;
  /// The caller's timeout, if the request carries one.
  std::optional<Duration> timeout;
  std::string host;
  /// Path of the target, without the query.
  std::string path;
};

/// Format of requests and responses between callers, daemons and leafs.
class RelayProtocol {
 public:
  virtual ~RelayProtocol() = default;

  virtual CallerHead ReadHead(const HttpRequest& request) const = 0;
  /// The request to send to the leaf `leaf_id`.
  virtual HttpRequest MakeLeafRequest(const HttpRequest& request,
                                      const std::string& leaf_id,
                                      Duration time_left) const = 0;
  /// Sets the time that is left in a request made by `MakeLeafRequest`.
  virtual void SetTimeLeft(HttpRequest& request, Duration time_left) const = 0;
  /// Whether a leaf's response belongs to this request.
  virtual bool IsResponseTo(const std::string& request_id,
                            const HttpResponse& response,
                            ConnectionUse use) const = 0;
  /// The request's id that a leaf's response echoes; empty if there is none.
  virtual std::string EchoedId(const HttpResponse& response) const = 0;
  virtual LeafReply ReadReply(HttpOutcome outcome) const = 0;

  /// The response to the caller, from a leaf's response.
  virtual HttpResponse MakeAnswer(HttpResponse response) const = 0;
  /// Response with the `limit` greatest records of `answers`. Each of these is
  /// the response of one shard or the merged response of several.
  virtual HttpResponse MakeMergedAnswer(
      const std::vector<HttpResponse>& answers,
      std::size_t missing_shards,
      std::size_t limit) const = 0;
  virtual HttpResponse MakeRefusal(const RelayRefusal& refusal) const = 0;
  virtual HttpResponse MakeNoRoute() const = 0;
};

}  // namespace bramleyspoke
