#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tool/log_records.h"

namespace bramleyspoke {

/// What logs tell of one request.
struct Explanation {
  /// Lines that bear its id, in order of time.
  std::vector<LogRecord> own;
  /// What the same daemons came to believe shortly before its end.
  std::vector<LogRecord> around;
  /// What it came to and why, a sentence each.
  std::vector<std::string> causes;
};

/// How long before a request's end what a daemon learnt may bear on it.
inline constexpr std::int64_t kContextMs = 10'000;
/// Most lines of context.
inline constexpr std::size_t kMostContext = 20;

Explanation ExplainRequest(std::vector<LogRecord> records,
                           std::string_view request_id);

}  // namespace bramleyspoke
