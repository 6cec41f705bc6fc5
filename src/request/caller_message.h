#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/refusal.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/http_message.h"
#include "request/search.h"
#include "version/routing_table.h"

namespace bramleyspoke {

/// A search as sent by a caller, before the manifest's limits are applied.
struct CallerSearch {
  std::string service;
  std::string query;
  std::string caller;
  std::string request_id;
  std::optional<std::uint32_t> limit;
  std::optional<Duration> time_left;
};

/// Daemons that a caller should use, and for how long it may keep this list.
struct AddressAnswer {
  std::string service;
  std::vector<DaemonAddress> entries;
  Duration keep = Duration::zero();
  std::string request_id_prefix;
  std::uint64_t generation = 0;
  bool is_confirmed = false;
};

/// Parses the JSON body of a search; reports every invalid field.
Result<CallerSearch> ParseCallerSearch(std::string_view json);
/// JSON that `ParseCallerSearch` parses.
std::string ToJson(const CallerSearch& search);
std::string ToJson(const AddressAnswer& answer);

/// Answer or refusal as sent to the caller, with its verdict and reason.
struct CallerReply {
  HttpResponse response;
  Verdict verdict = Verdict::kNotRun;
  /// Set if the request was refused.
  std::optional<RefusalReason> reason;
};

CallerReply MakeReply(const std::string& request_id,
                      const SearchOutcome& outcome);
CallerReply MakeReply(const std::string& request_id, const Refusal& refusal);
/// Parses a reply made by another daemon. The verdict is "ran" for status 200,
/// otherwise that of the body, or "may have run" if the body has none.
CallerReply ReadReply(int status, std::string body);

/// All problems on one line.
std::string Describe(const Problems& problems);

/// Hash of the service, query and limit; the same on every daemon.
std::uint64_t Fingerprint(const CallerSearch& search);

}  // namespace bramleyspoke
