#include "request/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxProofs = 65536;
constexpr std::size_t kMaxRecords = 4096;

}  // namespace

std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view query,
                            std::uint32_t limit) {
  const std::uint64_t seed =
      XXH3_64bits_withSeed(service.data(), service.size(), limit);
  return XXH3_64bits_withSeed(query.data(), query.size(), seed);
}

CrashStanding CrashGuard::Standing(std::uint64_t fingerprint,
                                   std::uint64_t version,
                                   TimePoint now) {
  EraseIfExpired(fingerprint, now);
  const bool is_proven = IsProven(fingerprint, version);
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end()) {
    return is_proven ? CrashStanding::kProven : CrashStanding::kUnproven;
  }
  std::uint32_t crashes = found->second.peer_crashes;
  std::map<std::uint32_t, std::uint32_t> crashes_of_shard;
  std::uint32_t worst_shard = 0;
  for (const Loss& loss : found->second.losses) {
    if (loss.is_crash) {
      ++crashes;
      worst_shard =
          std::max(worst_shard, ++crashes_of_shard[loss.attempt.shard]);
    }
  }
  // A leaf has answered a proven request, so the request is suspect only if the
  // crashes on one shard, since a leaf of that shard last answered it, reach
  // the limit.
  if ((is_proven ? worst_shard : crashes) >= kCrashLimit) {
    return CrashStanding::kSuspect;
  }
  return is_proven ? CrashStanding::kProven : CrashStanding::kUnproven;
}

std::optional<CanaryId> CrashGuard::OpenCanary(std::uint64_t fingerprint,
                                               TimePoint now) {
  Record& record = FindOrAddRecord(fingerprint, now);
  std::uint32_t at_risk = record.peer_crashes;
  for (const Loss& loss : record.losses) {
    at_risk += loss.is_crash || now - loss.at < kUnknownOutcomeTime ? 1 : 0;
  }
  for (const Canary& canary : record.canaries) {
    at_risk += !canary.sent || now - *canary.sent < kCanaryTimeout ? 1 : 0;
  }
  if (at_risk >= kCrashLimit) {
    return std::nullopt;
  }
  record.canaries.push_back({++m_last_id, std::nullopt});
  return m_last_id;
}

void CrashGuard::OnCanarySent(std::uint64_t fingerprint,
                              CanaryId id,
                              TimePoint now) {
  for (Canary& canary : FindOrAddRecord(fingerprint, now).canaries) {
    if (canary.id == id) {
      canary.sent = now;
    }
  }
}

void CrashGuard::CloseCanary(std::uint64_t fingerprint, CanaryId id) {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end()) {
    return;
  }
  std::erase_if(found->second.canaries,
                [id](const Canary& canary) { return canary.id == id; });
  EraseIfEmpty(found);
}

void CrashGuard::OnSurvived(std::uint64_t fingerprint,
                            std::uint64_t version,
                            std::uint32_t shard) {
  const bool was_proven = IsProven(fingerprint, version);
  if (!was_proven) {
    MarkProven(fingerprint, version);
  }
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end()) {
    return;
  }
  Record& record = found->second;
  if (!was_proven) {
    record.peer_crashes = 0;
  }
  std::erase_if(record.losses, [&](const Loss& loss) {
    return !was_proven || loss.attempt.shard == shard;
  });
  EraseIfEmpty(found);
}

void CrashGuard::OnLost(std::uint64_t fingerprint,
                        const LostAttempt& lost,
                        TimePoint now) {
  AddLoss(fingerprint, lost, true, now);
}

void CrashGuard::OnOutcomeUnknown(std::uint64_t fingerprint,
                                  const LostAttempt& lost,
                                  TimePoint now) {
  AddLoss(fingerprint, lost, false, now);
}

void CrashGuard::AddLoss(std::uint64_t fingerprint,
                         const LostAttempt& lost,
                         bool is_crash,
                         TimePoint now) {
  Record& record = FindOrAddRecord(fingerprint, now);
  // Attempts in flight on the same leaf at the same time end in one crash.
  for (Loss& loss : record.losses) {
    if (loss.attempt.leaf == lost.leaf && lost.sent <= loss.at) {
      if (is_crash) {
        MarkCrash(fingerprint, loss);
      }
      return;
    }
  }
  record.losses.push_back({lost, now, false});
  std::vector<std::uint64_t>& fingerprints = m_fingerprints_by_leaf[lost.leaf];
  if (fingerprints.size() < kMaxRecords) {
    fingerprints.push_back(fingerprint);
  }
  if (is_crash) {
    MarkCrash(fingerprint, record.losses.back());
  }
}

void CrashGuard::OnLeafUnreachable(LeafIndex leaf, TimePoint now) {
  const auto found = m_fingerprints_by_leaf.find(leaf);
  if (found == m_fingerprints_by_leaf.end()) {
    return;
  }
  for (const std::uint64_t fingerprint : found->second) {
    EraseIfExpired(fingerprint, now);
    const auto record = m_records.find(fingerprint);
    if (record == m_records.end()) {
      continue;
    }
    for (Loss& loss : record->second.losses) {
      if (loss.attempt.leaf == leaf) {
        MarkCrash(fingerprint, loss);
      }
    }
  }
}

void CrashGuard::OnLeafAnswered(LeafIndex leaf,
                                const std::string& incarnation,
                                TimePoint sent) {
  if (m_fingerprints_by_leaf.empty() || incarnation.empty()) {
    return;
  }
  const auto found = m_fingerprints_by_leaf.find(leaf);
  if (found == m_fingerprints_by_leaf.end()) {
    return;
  }
  std::erase_if(found->second, [&](std::uint64_t fingerprint) {
    return !ResolveLosses(fingerprint, leaf, incarnation, sent);
  });
  if (found->second.empty()) {
    m_fingerprints_by_leaf.erase(found);
  }
}

bool CrashGuard::ResolveLosses(std::uint64_t fingerprint,
                               LeafIndex leaf,
                               const std::string& incarnation,
                               TimePoint sent) {
  const auto record = m_records.find(fingerprint);
  if (record == m_records.end()) {
    return false;
  }
  bool is_unresolved = false;
  std::vector<Loss>& losses = record->second.losses;
  for (auto loss = losses.begin(); loss != losses.end();) {
    if (loss->attempt.leaf != leaf) {
      ++loss;
    } else if (sent <= loss->at) {
      is_unresolved = true;
      ++loss;
    } else if (loss->attempt.incarnation == incarnation) {
      loss = losses.erase(loss);
    } else {
      MarkCrash(fingerprint, *loss);
      ++loss;
    }
  }
  EraseIfEmpty(record);
  return is_unresolved;
}

void CrashGuard::OnPeerEvidence(const CrashEvidence& evidence, TimePoint now) {
  FindOrAddRecord(evidence.fingerprint, now).peer_crashes += evidence.crashes;
}

std::vector<CrashEvidence> CrashGuard::TakeEvidence() {
  std::vector<CrashEvidence> evidence;
  evidence.reserve(m_unreported_crashes.size());
  for (const auto& [fingerprint, crashes] : m_unreported_crashes) {
    evidence.push_back({fingerprint, crashes});
  }
  m_unreported_crashes.clear();
  return evidence;
}

std::vector<CrashGuard::Suspect> CrashGuard::Suspects() const {
  std::vector<Suspect> suspects;
  for (const auto& [fingerprint, record] : m_records) {
    Suspect suspect{fingerprint, 0, record.peer_crashes};
    for (const Loss& loss : record.losses) {
      suspect.crashes += loss.is_crash ? 1 : 0;
    }
    if (suspect.crashes + suspect.peer_crashes > 0) {
      suspects.push_back(suspect);
    }
  }
  return suspects;
}

bool CrashGuard::IsProven(std::uint64_t fingerprint, std::uint64_t version) {
  const auto found = m_proofs.find(fingerprint);
  if (found == m_proofs.end() || found->second.version != version) {
    return false;
  }
  m_proven_order.splice(m_proven_order.begin(), m_proven_order,
                        found->second.place);
  return true;
}

void CrashGuard::MarkProven(std::uint64_t fingerprint, std::uint64_t version) {
  const auto found = m_proofs.find(fingerprint);
  if (found != m_proofs.end()) {
    found->second.version = version;
    return;
  }
  if (m_proofs.size() >= kMaxProofs) {
    m_proofs.erase(m_proven_order.back());
    m_proven_order.pop_back();
  }
  m_proven_order.push_front(fingerprint);
  m_proofs[fingerprint] = {version, m_proven_order.begin()};
}

CrashGuard::Record& CrashGuard::FindOrAddRecord(std::uint64_t fingerprint,
                                                TimePoint now) {
  EraseIfExpired(fingerprint, now);
  if (m_records.size() >= kMaxRecords && !m_records.contains(fingerprint)) {
    EvictOldestRecord();
  }
  Record& record = m_records[fingerprint];
  record.last_used = now;
  return record;
}

void CrashGuard::EraseIfEmpty(
    std::unordered_map<std::uint64_t, Record>::iterator it) {
  const Record& record = it->second;
  if (record.canaries.empty() && record.losses.empty() &&
      record.peer_crashes == 0) {
    m_records.erase(it);
  }
}

void CrashGuard::EraseIfExpired(std::uint64_t fingerprint, TimePoint now) {
  const auto found = m_records.find(fingerprint);
  if (found != m_records.end() &&
      now - found->second.last_used > kRecordLifetime) {
    m_records.erase(found);
  }
}

void CrashGuard::MarkCrash(std::uint64_t fingerprint, Loss& loss) {
  if (!loss.is_crash) {
    loss.is_crash = true;
    ++m_unreported_crashes[fingerprint];
  }
}

bool CrashGuard::Record::HasCrash() const {
  return peer_crashes > 0 ||
         std::any_of(losses.begin(), losses.end(),
                     [](const Loss& loss) { return loss.is_crash; });
}

void CrashGuard::EvictOldestRecord() {
  const auto oldest = std::min_element(
      m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
        return std::make_pair(a.second.HasCrash(), a.second.last_used) <
               std::make_pair(b.second.HasCrash(), b.second.last_used);
      });
  m_records.erase(oldest);
}

}  // namespace bramleyspoke
