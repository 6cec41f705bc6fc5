#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tool/log_records.h"

namespace bramleyspoke {

/// What the logs show about one request.
struct Explanation {
  /// Records with the id of the request, ordered by time.
  std::vector<LogRecord> request_records;
  /// Records of the same daemons without any request id from shortly before the
  /// end of the request, such as changes of routes or leafs. If the request was
  /// refused because it crashes leafs, the records of all daemons about these
  /// crashes. The latest `kMaxContextRecords`.
  std::vector<LogRecord> context;
  /// How the request ended and why, one sentence each.
  std::vector<std::string> causes;
};

/// Maximum time between a context record and the end of the request.
inline constexpr std::int64_t kContextWindowMs = 10'000;
inline constexpr std::size_t kMaxContextRecords = 20;

/// Empty if no record has the id.
Explanation ExplainRequest(std::vector<LogRecord> records,
                           std::string_view request_id);

}  // namespace bramleyspoke
