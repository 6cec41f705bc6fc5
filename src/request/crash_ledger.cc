#include "request/crash_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxUnanswered = 1024;
constexpr std::size_t kMaxRefutable = 1024;

constexpr EnumNames<CrashEvidenceStep, 9> kStepNames{{{
    {CrashEvidenceStep::kUnanswered, "unanswered"},
    {CrashEvidenceStep::kCrashed, "crashed"},
    {CrashEvidenceStep::kCrashedTogether, "crashed_together"},
    {CrashEvidenceStep::kReported, "reported"},
    {CrashEvidenceStep::kReportedAgain, "reported_again"},
    {CrashEvidenceStep::kExpired, "expired"},
    {CrashEvidenceStep::kLeafAnswered, "leaf_answered"},
    {CrashEvidenceStep::kSurvived, "survived"},
    {CrashEvidenceStep::kTakenBack, "taken_back"},
}}};

std::uint64_t FingerprintOf(const RequestPart& part) {
  return XXH3_64bits_withSeed(part.service.data(), part.service.size(),
                              part.content);
}

// Different for each crash that a daemon sees, also after its restart.
std::uint64_t MakeCrashId(const RequestPart& part,
                          const LeafRegistration& leaf,
                          TimePoint at) {
  const std::string attempt =
      leaf.id + "~" + std::to_string(at.time_since_epoch().count());
  return XXH3_64bits_withSeed(attempt.data(), attempt.size(), part.content);
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

// A request that crashes the leafs of some shards only is answered by others,
// so its crashes count by shard. One that no leaf answers is refused as a
// whole.
bool CrashLedger::IsSuspect(const RequestPart& part, TimePoint now) const {
  constexpr Duration kLifetime = CrashTable::kCrashRetention;
  return CrashCount(part, now) >= kCrashLimit ||
         m_content_crashes.Count(part.content, now) >= kCrashLimit ||
         IsKnownSuspect({part.content, part.service}, kLifetime, now) ||
         IsKnownSuspect({part.content, ""}, kLifetime, now) ||
         IsSuspectResource(part, now);
}

// Other requests for the resource may be harmless, and none is answered while
// all are refused.
bool CrashLedger::IsSuspectResource(const RequestPart& part,
                                    TimePoint now) const {
  if (part.resource == 0) {
    return false;
  }
  const bool is_counted =
      m_content_crashes.Count(part.resource, now) >= kCrashLimit &&
      now - *m_content_crashes.Last(part.resource) < kResourceSuspectTime;
  return is_counted ||
         IsKnownSuspect({part.resource, ""}, kResourceSuspectTime, now);
}

bool CrashLedger::IsDoubtful(const RequestPart& part, TimePoint now) const {
  return m_content_crashes.Count(part.content, now) > 0 ||
         (part.resource != 0 &&
          m_content_crashes.Count(part.resource, now) > 0);
}

std::size_t CrashLedger::CrashCount(const RequestPart& part,
                                    TimePoint now) const {
  return m_part_crashes.Count(FingerprintOf(part), now);
}

bool CrashLedger::IsKnownSuspect(const CrashSuspect& suspect,
                                 Duration lifetime,
                                 TimePoint now) const {
  if (m_suspects.empty()) {
    return false;
  }
  const auto found =
      m_suspects.find(FingerprintOf({suspect.content, suspect.service}));
  return found != m_suspects.end() && now - found->second < lifetime;
}

void CrashLedger::OnPeerSuspect(const CrashSuspect& suspect, TimePoint now) {
  std::erase_if(m_suspects, [&](const auto& entry) {
    return now - entry.second >= CrashTable::kCrashRetention;
  });
  if (m_suspects.size() < CrashTable::kMaxFingerprints) {
    m_suspects[FingerprintOf({suspect.content, suspect.service})] = now;
  }
}

void CrashLedger::AddSuspect(const CrashSuspect& suspect, TimePoint now) {
  if (!IsKnownSuspect(suspect, CrashTable::kCrashRetention, now)) {
    OnPeerSuspect(suspect, now);
    m_unreported_suspects.push_back(suspect);
  }
}

void CrashLedger::ReportIfSuspect(const RequestPart& part, TimePoint now) {
  if (m_content_crashes.Count(part.content, now) >= kCrashLimit) {
    AddSuspect({part.content, ""}, now);
  } else if (part.resource != 0 &&
             m_content_crashes.Count(part.resource, now) >= kCrashLimit) {
    AddSuspect({part.resource, ""}, now);
  } else if (CrashCount(part, now) >= kCrashLimit) {
    AddSuspect({part.content, part.service}, now);
  }
}

std::vector<CrashSuspect> CrashLedger::TakeSuspects() {
  return std::exchange(m_unreported_suspects, {});
}

void CrashLedger::OnSurvived(const RequestPart& part, TimePoint now) {
  for (UnansweredAttempt& attempt : m_unanswered) {
    attempt.is_survived =
        attempt.is_survived || attempt.part.content == part.content;
  }
  const bool had_content_crash = m_content_crashes.Remove(part.content);
  const bool had_resource_crash =
      part.resource != 0 && m_content_crashes.Remove(part.resource);
  const bool had_part_crash = m_part_crashes.RemoveOldest(FingerprintOf(part));
  if (had_content_crash || had_resource_crash || had_part_crash) {
    Report(CrashEvidenceStep::kSurvived, part, "", Duration::zero(), now);
  }
}

void CrashLedger::OnUnanswered(const RequestPart& part,
                               const std::shared_ptr<const RelayLeaf>& leaf,
                               std::optional<std::uint64_t> closed_connection,
                               TimePoint now) {
  DropExpired(now);
  if (m_unanswered.size() >= kMaxUnanswered) {
    m_unanswered.erase(m_unanswered.begin());
  }
  m_unanswered.push_back(
      {part, leaf, now, closed_connection, std::nullopt, false, false});
  Report(CrashEvidenceStep::kUnanswered, part, leaf->registration.id,
         Duration::zero(), now);
}

void CrashLedger::OnUnreachable(const Endpoint& address, TimePoint now) {
  ConfirmCrashes(
      [&](const UnansweredAttempt& attempt) {
        return IsCrashIfLost(attempt, address);
      },
      now);
}

bool CrashLedger::IsAwaitingOutcome(const Endpoint& address) const {
  return std::any_of(m_unanswered.begin(), m_unanswered.end(),
                     [&](const UnansweredAttempt& attempt) {
                       return IsCrashIfLost(attempt, address);
                     });
}

bool CrashLedger::IsCrashIfLost(const UnansweredAttempt& attempt,
                                const Endpoint& address) {
  return attempt.leaf->registration.address == address &&
         !attempt.leaf_answered_at && !attempt.is_cut_off;
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
                             std::uint64_t connection,
                             TimePoint sent,
                             TimePoint now) {
  for (UnansweredAttempt& attempt : m_unanswered) {
    if (attempt.leaf.get() != &leaf || attempt.at >= sent ||
        attempt.leaf_answered_at) {
      continue;
    }
    attempt.leaf_answered_at = now;
    Report(CrashEvidenceStep::kLeafAnswered, attempt.part, leaf.registration.id,
           now - attempt.at, now);
  }
  TakeBackCrashes(leaf, connection, sent, now);
}

void CrashLedger::TakeBackCrashes(const RelayLeaf& leaf,
                                  std::uint64_t connection,
                                  TimePoint sent,
                                  TimePoint now) {
  std::vector<LeafCrash> refuted;
  std::erase_if(m_refutable, [&](const RefutableCrash& entry) {
    const bool is_refuted = entry.leaf.get() == &leaf &&
                            entry.crash.at < sent &&
                            connection <= entry.connection;
    if (is_refuted) {
      refuted.push_back(entry.crash);
    }
    return is_refuted || now - entry.crash.at >= CrashTable::kCrashRetention;
  });
  for (LeafCrash& crash : refuted) {
    crash.is_taken_back = true;
    // Peers know a crash that others of its part counted together with, but not
    // the others.
    if (RemoveCrash(crash)) {
      m_unreported_crashes.push_back(crash);
    }
    Report(CrashEvidenceStep::kTakenBack, crash.part, leaf.registration.id,
           now - crash.at, now);
  }
}

bool CrashLedger::RemoveCrash(const LeafCrash& crash) {
  const RequestPart& part = crash.part;
  m_content_crashes.TakeBack(part.content, crash.id);
  if (part.resource != 0) {
    m_content_crashes.TakeBack(part.resource, crash.id);
  }
  return m_part_crashes.TakeBack(FingerprintOf(part), crash.id);
}

void CrashLedger::OnContactLost(std::optional<TimePoint> since) {
  for (UnansweredAttempt& attempt : m_unanswered) {
    attempt.is_cut_off = attempt.is_cut_off || !since || attempt.at >= *since;
  }
}

void CrashLedger::OnPeerCrash(const LeafCrash& crash, TimePoint now) {
  if (crash.is_taken_back) {
    OnPeerTookBack(crash, now);
    return;
  }
  const bool is_new = !m_taken_back.contains(crash.id) && AddCrash(crash);
  const CrashEvidenceStep step =
      is_new ? CrashEvidenceStep::kReported : CrashEvidenceStep::kReportedAgain;
  Report(step, crash.part, "", now - crash.at, now);
}

void CrashLedger::OnPeerTookBack(const LeafCrash& crash, TimePoint now) {
  std::erase_if(m_taken_back, [&](const auto& entry) {
    return now - entry.second >= CrashTable::kCrashRetention;
  });
  if (m_taken_back.size() < CrashTable::kMaxFingerprints) {
    m_taken_back.emplace(crash.id, now);
  }
  RemoveCrash(crash);
  Report(CrashEvidenceStep::kTakenBack, crash.part, "", now - crash.at, now);
}

std::vector<LeafCrash> CrashLedger::TakeCrashes() {
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
             attempt.leaf->registration.id, now - attempt.at, now);
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
    const LeafCrash crash{
        attempt.part,
        MakeCrashId(attempt.part, attempt.leaf->registration, attempt.at),
        attempt.at, attempt.is_survived, false};
    const bool is_new = AddCrash(crash);
    if (is_new) {
      m_unreported_crashes.push_back(crash);
      ReportIfSuspect(crash.part, now);
    }
    AddRefutable(attempt, crash);
    Report(is_new ? CrashEvidenceStep::kCrashed
                  : CrashEvidenceStep::kCrashedTogether,
           attempt.part, attempt.leaf->registration.id, now - attempt.at, now);
    return true;
  });
}

void CrashLedger::AddRefutable(const UnansweredAttempt& attempt,
                               const LeafCrash& crash) {
  if (!attempt.closed_connection) {
    return;
  }
  if (m_refutable.size() >= kMaxRefutable) {
    m_refutable.erase(m_refutable.begin());
  }
  m_refutable.push_back({crash, attempt.leaf, *attempt.closed_connection});
}

bool CrashLedger::AddCrash(const LeafCrash& crash) {
  const RequestPart& part = crash.part;
  bool is_new = m_part_crashes.Add(FingerprintOf(part), crash.id, crash.at);
  if (crash.is_survived) {
    return is_new;
  }
  is_new = m_content_crashes.Add(part.content, crash.id, crash.at) || is_new;
  if (part.resource != 0) {
    is_new = m_content_crashes.Add(part.resource, crash.id, crash.at) || is_new;
  }
  return is_new;
}

void CrashLedger::Report(CrashEvidenceStep step,
                         const RequestPart& part,
                         std::string leaf_id,
                         Duration age,
                         TimePoint now) {
  m_events.push_back(
      {step, part, std::move(leaf_id), age, CrashCount(part, now)});
}

}  // namespace bramleyspoke
