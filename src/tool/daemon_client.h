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

/// A daemon's answer to a GET or POST, whatever its status.
struct DaemonAnswer {
  int status = 0;
  std::string body;
};

/// What became of a call to a daemon.
struct DaemonCall {
  std::optional<DaemonAnswer> answer;
  /// Without an answer: whether the daemon may have seen the call.
  bool may_have_arrived = false;
};

/// Calls `daemon` and waits for the outcome; POST if there is a body.
DaemonCall CallDaemon(const Endpoint& daemon,
                      const std::string& target,
                      const std::optional<std::string>& body,
                      Duration timeout);

/// Calls each of `daemons` in turn until one gives what was asked for; else
/// the last answer, so that its refusal can be shown.
DaemonCall CallFirst(const std::vector<Endpoint>& daemons,
                     const std::string& target,
                     Duration timeout);

/// What /v1/status says, as far as the tool uses it.
struct DaemonStatus {
  Endpoint address;
  std::uint64_t generation = 0;
  bool is_confirmed = false;
  bool is_ready = false;
  bool is_stopping = false;
  std::string failure_domain;
  std::string region;
  std::uint64_t in_flight = 0;
  /// Where callers reach the daemons that it knows.
  std::vector<Endpoint> members;
};

/// Empty when malformed.
std::optional<DaemonStatus> ParseDaemonStatus(std::string_view json);

/// What /v1/entries says.
struct EntryList {
  std::vector<Endpoint> entries;
  Duration keep = Duration::zero();
  std::string request_id_prefix;
};

/// Empty when malformed.
std::optional<EntryList> ParseEntryList(std::string_view json);

/// What a refused search says, as far as callers act on it.
struct SearchRefusal {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// May have run when malformed.
SearchRefusal ParseSearchRefusal(std::string_view json);

}  // namespace bramleyspoke
