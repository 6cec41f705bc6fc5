#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "base/verdict.h"

namespace bramleyspoke {

/// A daemon's HTTP response, whatever its status.
struct DaemonResponse {
  int status = 0;
  std::string body;
};

/// Outcome of an HTTP request to a daemon.
struct DaemonCallResult {
  std::optional<DaemonResponse> response;
  /// Whether the daemon may have received the request; true if it responded.
  bool may_have_arrived = false;
};

/// Sends a POST if there is a `body`, else a GET, and waits for the outcome.
DaemonCallResult CallDaemon(const Endpoint& daemon,
                            const std::string& target,
                            const std::optional<std::string>& body,
                            Duration timeout);

/// Sends a GET to each of `daemons` in turn until one responds with status 200.
/// If none does, returns the last response, so that the error can be shown; if
/// there is no response at all, the result of the last call.
DaemonCallResult CallFirstAvailable(const std::vector<Endpoint>& daemons,
                                    const std::string& target,
                                    Duration timeout);

/// The fields of a /v1/status response that the tool uses.
struct DaemonStatus {
  Endpoint address;
  std::uint64_t generation = 0;
  bool is_confirmed = false;
  bool is_ready = false;
  bool is_stopping = false;
  std::string failure_domain;
  std::string region;
  std::uint64_t in_flight = 0;
  /// Addresses for callers of the daemons that this daemon knows.
  std::vector<Endpoint> members;
};

/// `std::nullopt` if malformed.
std::optional<DaemonStatus> ParseDaemonStatus(std::string_view json);

/// A /v1/entries response.
struct EntryList {
  std::vector<Endpoint> entries;
  /// How long a caller may use the addresses before it must query them again.
  Duration valid_for = Duration::zero();
  std::string request_id_prefix;
};

/// `std::nullopt` if malformed.
std::optional<EntryList> ParseEntryList(std::string_view json);

/// The fields of the response to a refused search that callers act on.
struct SearchRefusal {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// If `json` is malformed, the verdict is `kMayHaveRun` and the other fields
/// are empty.
SearchRefusal ParseSearchRefusal(std::string_view json);

}  // namespace bramleyspoke
