#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/log.h"
#include "process/log_sampler.h"
#include "process/relay_front.h"

namespace bramleyspoke {

/// Logs relayed requests, failed attempts, failed delegations and crash
/// evidence at a bounded rate.
///
/// Requests answered completely and within the target latency are logged at
/// debug level, everything else at info level.
class RelayLog {
 public:
  static constexpr std::uint32_t kLinesPerSecond = 40;

  RelayLog() : m_sampler(kLinesPerSecond) {}

  void WriteRequestEnd(const RelayEnd& end);
  void WriteFailedAttempt(std::string_view request_id,
                          const FailedAttempt& send);
  void WriteHeldRequest(std::string_view request_id, const HeldRequest& held);
  void WriteSkippedResponse(const SkippedResponse& response);
  void WriteCrashEvidence(const CrashEvidenceEvent& event);
  void WriteLeafNotice(const LeafNotice& notice);
  void WriteContactChange(const ContactChange& change);

 private:
  bool ShouldWrite(LogLevel level,
                   std::string_view request_id,
                   LogPriority priority);

  LogSampler m_sampler;
  TimePoint m_suppressed_reported_at;
};

/// One phrase per part that was not answered or needed several attempts: its
/// state, the leaf that answered, whether it is pending at a peer, the leafs
/// attempted (without an attempt, all leafs with their state), its hedges, the
/// tokens left in the retry budget and the time for which it waited for it, and
/// the exchange that answered it.
std::string DescribePartReports(const std::vector<PartReport>& parts);

}  // namespace bramleyspoke
