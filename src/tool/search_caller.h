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

/// A search and how hard to try.
struct CallerPlan {
  /// Daemons asked for the addresses to use.
  std::vector<Endpoint> daemons;
  std::string service;
  std::string query;
  std::string caller;
  std::optional<std::uint64_t> limit;
  std::optional<std::uint64_t> deadline_ms;
  /// Caller's part of the request id; unique to the request.
  std::string request_id_suffix;
  std::uint64_t tries = 5;
  Duration timeout = std::chrono::seconds(10);
};

enum class TryResult {
  kAnswered,
  kRefused,
  kNotSent,
  kLost,
};

std::string_view ToString(TryResult result);

/// One try at one address.
struct SearchTry {
  Endpoint entry;
  TryResult result = TryResult::kNotSent;
  /// Set if refused.
  std::optional<SearchRefusal> refusal;
};

struct CallerResult {
  std::string request_id;
  std::vector<SearchTry> tries;
  /// Body of the answer; absent if there was none.
  std::optional<std::string> answer;
  /// Whether the request may have run, over all tries.
  Verdict verdict = Verdict::kNotRun;
};

/// Searches as a caller is to: asks which addresses to use, connects there,
/// and sends the same request id again when that can help.
CallerResult SearchAsCaller(const CallerPlan& plan);

}  // namespace bramleyspoke
