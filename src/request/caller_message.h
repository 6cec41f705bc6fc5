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

/// A search as a caller sends it, before the manifest's limits are known.
struct CallerSearch {
  std::string service;
  std::string query;
  std::string caller;
  std::string request_id;
  std::optional<std::uint32_t> limit;
  std::optional<Duration> time_left;
};

/// Which of the daemons a caller should use, and for how long.
struct EntryAnswer {
  std::string service;
  std::vector<DaemonAddress> entries;
  Duration keep = Duration::zero();
  std::string request_id_prefix;
  std::uint64_t generation = 0;
  bool is_confirmed = false;
};

/// Parses a search's JSON body; every fault is reported.
Result<CallerSearch> ParseCallerSearch(std::string_view json);
/// JSON that `ParseCallerSearch` takes back.
std::string ToJson(const CallerSearch& search);
std::string ToJson(const EntryAnswer& answer);

/// Answer or refusal as the caller gets it, with what it says.
struct CallerReply {
  HttpResponse response;
  Verdict verdict = Verdict::kNotRun;
  /// Set if the request was refused.
  std::optional<RefusalReason> reason;
};

CallerReply MakeReply(const std::string& request_id,
                      const SearchOutcome& outcome);
CallerReply MakeReply(const std::string& request_id, const Refusal& refusal);
/// A reply that another daemon made; may have run if it can't be read.
CallerReply ReadReply(int status, std::string body);

/// The problems in one line.
std::string Describe(const Problems& problems);

/// Hash of what a request asks for, the same on every daemon.
std::uint64_t Fingerprint(const CallerSearch& search);

}  // namespace bramleyspoke
