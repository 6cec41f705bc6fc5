#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/refusal.h"
#include "base/time.h"
#include "base/verdict.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

/// A caller's request, checked.
struct SearchRequest {
  std::string request_id;
  std::string caller;
  std::string service;
  std::string query;
  std::uint32_t limit = 10;
  /// The answer must be with the caller by then.
  TimePoint deadline;
};

/// A shard that an answer does not cover, or covers in part.
struct MissingShard {
  std::uint32_t shard = 0;
  /// Share that was covered, 0 to 1.
  double covered = 0;
};

/// A merged answer from one snapshot.
struct SearchAnswer {
  IndexVersion version;
  std::vector<Hit> hits;
  /// Share of the snapshot's shards that `hits` come from, 0 to 1.
  double coverage = 0;
  std::vector<MissingShard> missing;
};

/// How a request ended: an answer or a refusal, and what the leafs did.
struct SearchOutcome {
  std::optional<SearchAnswer> answer;
  std::optional<Refusal> refusal;
  Verdict verdict = Verdict::kNotRun;
  /// Attempts sent to leafs, and how many were needed at the least.
  std::uint32_t attempts = 0;
  std::uint32_t needed = 0;
};

}  // namespace bramleyspoke
