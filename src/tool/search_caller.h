#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "base/verdict.h"
#include "tool/daemon_client.h"

namespace bramleyspoke {

/// A search request and the limits on its retries.
struct SearchPlan {
  /// Daemons to query for the addresses that serve the service's callers.
  std::vector<Endpoint> daemons;
  std::string service;
  std::string query;
  std::string caller;
  std::optional<std::uint64_t> limit;
  std::optional<std::uint64_t> deadline_ms;
  /// The caller's part of the request id; must be unique to the request.
  std::string request_id_suffix;
  /// Maximum number of attempts, failed queries for addresses included.
  std::uint64_t max_attempts = 5;
  /// Timeout of each HTTP call.
  Duration timeout = std::chrono::seconds(10);
};

enum class SearchAttemptResult {
  kAnswered,
  kRefused,
  kNotSent,
  kLost,
};

std::string_view ToString(SearchAttemptResult result);

/// One attempt, sent to one address, or a failed query for addresses; for the
/// latter, `entry` is the first daemon of the plan.
struct SearchAttempt {
  Endpoint entry;
  SearchAttemptResult result = SearchAttemptResult::kNotSent;
  /// Set if `result` is `kRefused`.
  std::optional<SearchRefusal> refusal;
};

struct SearchResult {
  std::string request_id;
  std::vector<SearchAttempt> attempts;
  /// Body of the successful response; absent if there was none.
  std::optional<std::string> answer;
  /// Whether the request may have run, over all attempts.
  Verdict verdict = Verdict::kNotRun;
};

/// Searches as callers are expected to: queries a daemon for the addresses to
/// use, sends the request to one of them, and retries under the same request id
/// if the refusal allows it or an address does not respond.
SearchResult SearchAsCaller(const SearchPlan& plan);

}  // namespace bramleyspoke
