#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tool/log_records.h"

namespace bramleyspoke {

/// What the logs show about one request.
struct Explanation {
  /// Records with its request id, ordered by time.
  std::vector<LogRecord> request_records;
  /// Other records of the same daemons shortly before its end, such as changes
  /// of their routes or leafs.
  std::vector<LogRecord> context;
  /// How the request ended and why, one sentence each.
  std::vector<std::string> causes;
};

/// Context records are at most this much older than the end of the request.
inline constexpr std::int64_t kContextWindowMs = 10'000;
inline constexpr std::size_t kMaxContextRecords = 20;

/// Empty if no record has the id.
Explanation ExplainRequest(std::vector<LogRecord> records,
                           std::string_view request_id);

}  // namespace bramleyspoke
