#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace bramleyspoke {

/// Which lines go first when there are too many.
enum class LogValue {
  /// Refusals, and requests that failed.
  kFailure,
  kOther,
};

/// Bounds how many lines about requests are written in a second.
///
/// Beyond the rate, requests are left out by a hash of their id, the same at
/// every daemon, so that what is kept of a request is whole. Failures may use
/// the whole rate, other lines what failures leave.
class LogSampler {
 public:
  explicit LogSampler(std::uint32_t lines_per_second);

  /// Whether a line about this request may be written.
  bool Take(std::string_view request_id, LogValue value, TimePoint now);
  /// Lines left out since the last call.
  std::uint64_t TakeSuppressed();

 private:
  struct Class {
    /// Of all requests, by the hash of their id.
    double kept_share = 1;
    std::uint32_t offered = 0;
    std::uint32_t taken = 0;
  };

  void BeginSecond(TimePoint now);
  std::uint32_t BoundOf(LogValue value) const;

  std::uint32_t m_lines_per_second;
  TimePoint m_second_begins;
  std::array<Class, 2> m_classes;
  std::uint64_t m_suppressed = 0;
};

}  // namespace bramleyspoke
