#include "request/crash_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxUnanswered = 1024;
constexpr std::size_t kMaxRequests = 4096;

constexpr EnumNames<CrashEvidenceStep, 8> kStepNames{{{
    {CrashEvidenceStep::kUnanswered, "unanswered"},
    {CrashEvidenceStep::kCrashed, "crashed"},
    {CrashEvidenceStep::kCrashedTogether, "crashed_together"},
    {CrashEvidenceStep::kReported, "reported"},
    {CrashEvidenceStep::kReportedAgain, "reported_again"},
    {CrashEvidenceStep::kExpired, "expired"},
    {CrashEvidenceStep::kLeafAnswered, "leaf_answered"},
    {CrashEvidenceStep::kSurvived, "survived"},
}}};

std::uint64_t FingerprintOf(const RequestPart& part) {
  return XXH3_64bits_withSeed(part.service.data(), part.service.size(),
                              part.content);
}

}  // namespace

std::uint64_t FingerprintOfContent(std::string_view method,
                                   std::string_view target,
                                   std::string_view body) {
  std::uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(target.data(), target.size(), hash);
  return XXH3_64bits_withSeed(body.data(), body.size(), hash);
}

std::string_view ToString(CrashEvidenceStep step) {
  return kStepNames.NameOf(step);
}

bool CrashLedger::IsSuspect(const RequestPart& part, TimePoint now) const {
  if (m_crashes.empty()) {
    return false;
  }
  const auto found = m_crashes.find(FingerprintOf(part));
  return found != m_crashes.end() && found->second.size() >= kCrashLimit &&
         now - found->second.back() < kCrashRetention;
}

void CrashLedger::OnSurvived(const RequestPart& part) {
  const auto found = m_crashes.find(FingerprintOf(part));
  if (found == m_crashes.end()) {
    return;
  }
  found->second.erase(found->second.begin());
  if (found->second.empty()) {
    m_crashes.erase(found);
  }
  Report(CrashEvidenceStep::kSurvived, part, "", Duration::zero());
}

void CrashLedger::OnUnanswered(const RequestPart& part,
                               const std::shared_ptr<const RelayLeaf>& leaf,
                               TimePoint now) {
  DropExpired(now);
  if (m_unanswered.size() >= kMaxUnanswered) {
    m_unanswered.erase(m_unanswered.begin());
  }
  m_unanswered.push_back({part, leaf, now, std::nullopt});
  Report(CrashEvidenceStep::kUnanswered, part, leaf->registration.id,
         Duration::zero());
}

void CrashLedger::OnUnreachable(const Endpoint& address, TimePoint now) {
  ConfirmCrashes(
      [&](const UnansweredAttempt& attempt) {
        return attempt.leaf->registration.address == address &&
               !attempt.leaf_answered_at;
      },
      now);
}

// A leaf that restarts under its id may respond before its new registration
// arrives; its responses are then taken for those of the earlier run.
void CrashLedger::OnLeafsChanged(TimePoint now) {
  ConfirmCrashes(
      [](const UnansweredAttempt& attempt) {
        return attempt.leaf_answered_at ? attempt.leaf->is_restarted
                                        : attempt.leaf->is_gone;
      },
      now);
}

void CrashLedger::OnAnswered(const RelayLeaf& leaf,
                             TimePoint sent,
                             TimePoint now) {
  for (UnansweredAttempt& attempt : m_unanswered) {
    if (attempt.leaf.get() != &leaf || attempt.at >= sent ||
        attempt.leaf_answered_at) {
      continue;
    }
    attempt.leaf_answered_at = now;
    Report(CrashEvidenceStep::kLeafAnswered, attempt.part, leaf.registration.id,
           now - attempt.at);
  }
}

void CrashLedger::OnPeerCrash(const RequestPart& part, TimePoint now) {
  const bool is_new = AddCrash(part, now);
  Report(
      is_new ? CrashEvidenceStep::kReported : CrashEvidenceStep::kReportedAgain,
      part, "", Duration::zero());
}

std::vector<RequestPart> CrashLedger::TakeCrashes() {
  return std::exchange(m_unreported_crashes, {});
}

std::vector<CrashEvidenceEvent> CrashLedger::TakeEvents() {
  return std::exchange(m_events, {});
}

bool CrashLedger::IsExpired(const UnansweredAttempt& attempt, TimePoint now) {
  return attempt.leaf_answered_at
             ? now - *attempt.leaf_answered_at >= kRestartNoticeTimeout
             : now - attempt.at >= kConfirmationTimeout;
}

void CrashLedger::DropExpired(TimePoint now) {
  std::erase_if(m_unanswered, [&](const UnansweredAttempt& attempt) {
    if (!IsExpired(attempt, now)) {
      return false;
    }
    if (!attempt.leaf_answered_at) {
      Report(CrashEvidenceStep::kExpired, attempt.part,
             attempt.leaf->registration.id, now - attempt.at);
    }
    return true;
  });
}

template <typename Predicate>
void CrashLedger::ConfirmCrashes(Predicate is_crash, TimePoint now) {
  DropExpired(now);
  std::erase_if(m_unanswered, [&](const UnansweredAttempt& attempt) {
    if (!is_crash(attempt)) {
      return false;
    }
    const bool is_new = AddCrash(attempt.part, attempt.at);
    if (is_new) {
      m_unreported_crashes.push_back(attempt.part);
    }
    Report(is_new ? CrashEvidenceStep::kCrashed
                  : CrashEvidenceStep::kCrashedTogether,
           attempt.part, attempt.leaf->registration.id, now - attempt.at);
    return true;
  });
}

void CrashLedger::Report(CrashEvidenceStep step,
                         const RequestPart& part,
                         std::string leaf_id,
                         Duration age) {
  const auto found = m_crashes.find(FingerprintOf(part));
  const std::size_t crashes =
      found == m_crashes.end() ? 0 : found->second.size();
  m_events.push_back({step, part, std::move(leaf_id), age, crashes});
}

// Peers report crashes with a delay, so the times of several daemons may be out
// of order.
bool CrashLedger::AddCrash(const RequestPart& part, TimePoint at) {
  const std::uint64_t fingerprint = FingerprintOf(part);
  if (m_crashes.size() >= kMaxRequests && !m_crashes.contains(fingerprint)) {
    const auto oldest = std::min_element(
        m_crashes.begin(), m_crashes.end(), [](const auto& a, const auto& b) {
          return a.second.back() < b.second.back();
        });
    m_crashes.erase(oldest);
  }
  std::vector<TimePoint>& times = m_crashes[fingerprint];
  std::erase_if(times,
                [&](TimePoint time) { return at - time >= kCrashRetention; });
  const bool is_known =
      std::any_of(times.begin(), times.end(), [&](TimePoint time) {
        return time - at < kMinCrashSpacing && at - time < kMinCrashSpacing;
      });
  if (is_known) {
    return false;
  }
  times.insert(std::upper_bound(times.begin(), times.end(), at), at);
  return true;
}

}  // namespace bramleyspoke
