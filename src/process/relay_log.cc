#include "process/relay_log.h"

#include <chrono>

#include "base/fingerprint.h"

namespace bramleyspoke {
namespace {

// Reason of a request for whose path there is no route.
constexpr std::string_view kNoRoute = "no_route";
// Minimum interval between two reports of the number of suppressed lines.
constexpr Duration kSuppressedReportInterval = std::chrono::seconds(1);

// Whether the request was answered completely and within the target latency,
// regardless of retries, hedges and delegations.
bool IsCompleteInTime(const RelayEnd& end) {
  const bool is_answered = end.is_for_peer || end.status == 200;
  return is_answered && end.missing_shards == 0 && end.route != nullptr &&
         end.taken <= end.route->target_latency;
}

LogPriority PriorityOf(const RelayEnd& end) {
  const bool is_failed =
      end.refusal.has_value() || (!end.is_for_peer && end.status != 200);
  return is_failed ? LogPriority::kFailure : LogPriority::kOther;
}

LogLevel LevelOf(CrashEvidenceStep step) {
  switch (step) {
    case CrashEvidenceStep::kCrashed:
      return LogLevel::kWarning;
    // Attempts at a leaf that stalls; `send_failed` has those that failed.
    case CrashEvidenceStep::kUnanswered:
    case CrashEvidenceStep::kLeafAnswered:
      return LogLevel::kDebug;
    case CrashEvidenceStep::kCrashedTogether:
    case CrashEvidenceStep::kReported:
    case CrashEvidenceStep::kReportedAgain:
    case CrashEvidenceStep::kExpired:
    case CrashEvidenceStep::kSurvived:
    case CrashEvidenceStep::kTakenBack:
      break;
  }
  return LogLevel::kInfo;
}

// -1 if the store has not confirmed the routes.
std::int64_t UnconfirmedMilliseconds(const RelayEnd& end) {
  return end.routes_unconfirmed ? ToMilliseconds(*end.routes_unconfirmed) : -1;
}

std::string_view ReasonOf(const RelayEnd& end) {
  if (end.refusal) {
    return ToString(end.refusal->reason);
  }
  return end.route == nullptr && !end.is_for_peer ? kNoRoute : "";
}

std::string_view NameOf(const Route* route) {
  return route == nullptr ? std::string_view() : route->name;
}

std::string DescribeHold(Duration held) {
  return held > Duration::zero()
             ? " after " + std::to_string(ToMilliseconds(held)) + " ms"
             : std::string();
}

std::string DescribeRuns(const PartReport& part) {
  const std::string peers =
      part.runs_at_peers > 0 ? "+" + std::to_string(part.runs_at_peers) : "";
  return std::to_string(part.runs_here) + peers + " of " +
         std::to_string(part.max_attempts);
}

}  // namespace

std::string DescribePartReports(const std::vector<PartReport>& parts) {
  std::string text;
  for (const PartReport& part : parts) {
    text += text.empty() ? "" : "; ";
    text += part.service + " " + std::string(ToString(part.end));
    if (!part.answered_by.empty()) {
      text += " by " + part.answered_by;
    }
    text += part.is_at_peer ? " at a peer" : "";
    text += part.leafs.empty() ? "" : " after";
    for (const std::string& leaf : part.leafs) {
      text += " " + leaf;
    }
    text += " (runs " + DescribeRuns(part) + ", hedges " +
            std::to_string(part.hedges) + ", budget " +
            std::to_string(static_cast<int>(part.budget)) +
            DescribeHold(part.held) + ")";
    if (part.answered_on.connection > 0) {
      text += " on connection " + std::to_string(part.answered_on.connection) +
              ", exchange " + std::to_string(part.answered_on.exchange);
    }
  }
  return text;
}

void RelayLog::WriteRequestEnd(const RelayEnd& end) {
  const LogLevel level =
      IsCompleteInTime(end) ? LogLevel::kDebug : LogLevel::kInfo;
  if (!ShouldWrite(level, end.request_id, PriorityOf(end))) {
    return;
  }
  static const RelayOutcome kNone;
  const RelayOutcome& outcome = end.outcome == nullptr ? kNone : *end.outcome;
  WriteLog(
      level, end.is_for_peer ? "peer_query_end" : "request_end",
      {Field("request_id", end.request_id),
       Field("route", NameOf(end.route)),
       Field("version", end.version),
       Field("routes_unconfirmed_ms", UnconfirmedMilliseconds(end)),
       Field("status", end.status),
       Field("taken_ms", ToMilliseconds(end.taken)),
       Field("waited_ms", ToMilliseconds(end.waited)),
       Field("time_for_answer_ms", ToMilliseconds(end.time_for_answer)),
       Field("wait_end", end.refusal ? "" : ToString(outcome.wait_end)),
       Field("sends", outcome.sends),
       Field("repeats", outcome.repeats),
       Field("hand_overs", outcome.hand_overs),
       Field("missing_shards", end.missing_shards),
       Field("fingerprint", FormatFingerprint(end.fingerprint)),
       Field("resource", FormatFingerprint(end.resource)),
       Field("odd_parts", outcome.reportable_parts),
       Field("odd", DescribePartReports(outcome.part_reports)),
       Field("reason", ReasonOf(end)),
       Field("verdict", end.refusal ? ToString(end.refusal->verdict) : ""),
       Field("retry_after_ms", end.refusal && end.refusal->retry_after
                                   ? ToMilliseconds(*end.refusal->retry_after)
                                   : 0)});
}

void RelayLog::WriteFailedAttempt(std::string_view request_id,
                                  const FailedAttempt& send) {
  if (!ShouldWrite(LogLevel::kInfo, request_id, LogPriority::kOther)) {
    return;
  }
  WriteLog(LogLevel::kInfo, "send_failed",
           {Field("request_id", request_id), Field("leaf", send.leaf_id),
            Field("service", send.service), Field("kind", ToString(send.kind)),
            Field("taken_ms", ToMilliseconds(send.taken)),
            Field("fingerprint", FormatFingerprint(send.fingerprint)),
            Field("connection", send.position.connection),
            Field("exchange", send.position.exchange)});
}

// Written once for each wait; `request_end` tells how it ended.
void RelayLog::WriteHeldRequest(std::string_view request_id,
                                const HeldRequest& held) {
  if (!ShouldWrite(LogLevel::kInfo, request_id, LogPriority::kOther)) {
    return;
  }
  WriteLog(LogLevel::kInfo, "request_held",
           {Field("request_id", request_id), Field("waits_for", "retry_budget"),
            Field("service", held.service), Field("budget", held.budget),
            Field("ahead", held.ahead),
            Field("expected_ms", ToMilliseconds(held.expected)),
            Field("time_left_ms", ToMilliseconds(held.time_left))});
}

void RelayLog::WriteSkippedResponse(const SkippedResponse& response) {
  if (!ShouldWrite(LogLevel::kInfo, response.request_id, LogPriority::kOther)) {
    return;
  }
  WriteLog(
      LogLevel::kInfo, "response_skipped",
      {Field("request_id", response.request_id),
       Field("leaf", response.leaf_id), Field("echoed_id", response.echoed_id),
       Field("status", response.status),
       Field("connection", response.position.connection),
       Field("exchange", response.position.exchange)});
}

// Crashes are rare and explain refusals at other daemons, so they have the
// priority of failures.
void RelayLog::WriteCrashEvidence(const CrashEvidenceEvent& event) {
  const bool is_crash = event.step == CrashEvidenceStep::kCrashed;
  const LogLevel level = LevelOf(event.step);
  const std::string fingerprint = FormatFingerprint(event.part.content);
  if (!ShouldWrite(level, fingerprint,
                   is_crash ? LogPriority::kFailure : LogPriority::kOther)) {
    return;
  }
  WriteLog(
      level, is_crash ? "leaf_crashed" : "crash_evidence",
      {Field("step", ToString(event.step)), Field("fingerprint", fingerprint),
       Field("resource", FormatFingerprint(event.part.resource)),
       Field("service", event.part.service), Field("leaf", event.leaf_id),
       Field("age_ms", ToMilliseconds(event.age)),
       Field("crashes", event.crashes)});
}

void RelayLog::WriteLeafNotice(const LeafNotice& notice) {
  const bool is_unreadable = notice.kind == LeafNoticeKind::kUnreadable;
  const LogLevel level = is_unreadable ? LogLevel::kWarning : LogLevel::kInfo;
  if (!ShouldWrite(level, notice.leaf_id, LogPriority::kOther)) {
    return;
  }
  WriteLog(level, "leaf_notice",
           {Field("kind", ToString(notice.kind)), Field("leaf", notice.leaf_id),
            Field("service", notice.service),
            Field("request_rate", notice.request_rate),
            Field("pause_ms", ToMilliseconds(notice.pause)),
            Field("detail", notice.detail)});
}

// Rare, and explains refusals and hand-overs of many requests.
void RelayLog::WriteContactChange(const ContactChange& change) {
  const bool is_lost = change.state == ContactState::kCutOff;
  WriteLog(is_lost ? LogLevel::kWarning : LogLevel::kInfo, "leaf_contact",
           {Field("state", ToString(change.state)),
            Field("silence_ms", ToMilliseconds(change.silence)),
            Field("failed_leafs", change.failed_leafs),
            Field("probes", change.probes)});
}

bool RelayLog::ShouldWrite(LogLevel level,
                           std::string_view request_id,
                           LogPriority priority) {
  const TimePoint now = std::chrono::steady_clock::now();
  if (!IsLogged(level) || !m_sampler.Admit(request_id, priority, now)) {
    return false;
  }
  if (now - m_suppressed_reported_at >= kSuppressedReportInterval) {
    m_suppressed_reported_at = now;
    const std::uint64_t suppressed = m_sampler.TakeSuppressedCount();
    if (suppressed > 0) {
      WriteLog(LogLevel::kWarning, "log_lines_suppressed",
               {Field("lines", suppressed)});
    }
  }
  return true;
}

}  // namespace bramleyspoke
