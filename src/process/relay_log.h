#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/log.h"
#include "process/log_sampler.h"
#include "process/relay_front.h"

namespace bramleyspoke {

/// Writes a line for each relayed request that was not plain, and for each
/// sending that failed, at a bounded rate.
class RelayLog {
 public:
  static constexpr std::uint32_t kLinesPerSecond = 40;

  RelayLog() : m_sampler(kLinesPerSecond) {}

  void WriteEnd(const RelayEnd& end);
  void WriteFailedSend(std::string_view request_id, const RelaySendEnd& send);

 private:
  bool MayWrite(LogLevel level, std::string_view request_id, LogValue value);

  LogSampler m_sampler;
  TimePoint m_counted_at;
};

/// One phrase a part: its leafs, how it ended, and what the budget had left.
std::string DescribeOddParts(const std::vector<OddPart>& parts);

}  // namespace bramleyspoke
