#include "request/crash_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr std::size_t kMaxLostConnections = 1024;
constexpr std::size_t kMaxRequests = 4096;

}  // namespace

std::uint64_t FingerprintOfContent(std::string_view method,
                                   std::string_view target,
                                   std::string_view body) {
  std::uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(target.data(), target.size(), hash);
  return XXH3_64bits_withSeed(body.data(), body.size(), hash);
}

std::uint64_t FingerprintOfPart(std::uint64_t content,
                                std::string_view service) {
  return XXH3_64bits_withSeed(service.data(), service.size(), content);
}

bool CrashLedger::IsSuspect(std::uint64_t fingerprint, TimePoint now) const {
  if (m_crashes.empty()) {
    return false;
  }
  const auto found = m_crashes.find(fingerprint);
  return found != m_crashes.end() && found->second.size() >= kCrashLimit &&
         now - found->second.back() < kCrashRetention;
}

void CrashLedger::OnSurvived(std::uint64_t fingerprint) {
  m_crashes.erase(fingerprint);
  std::erase_if(m_lost_connections, [&](const LostConnection& lost) {
    return lost.fingerprint == fingerprint;
  });
}

void CrashLedger::OnLost(std::uint64_t fingerprint,
                         const std::shared_ptr<const RelayLeaf>& leaf,
                         TimePoint now) {
  std::erase_if(m_lost_connections, [&](const LostConnection& lost) {
    return now - lost.at >= kConfirmationTimeout;
  });
  if (m_lost_connections.size() >= kMaxLostConnections) {
    m_lost_connections.erase(m_lost_connections.begin());
  }
  m_lost_connections.push_back({fingerprint, leaf, now});
}

void CrashLedger::OnUnreachable(const Endpoint& address, TimePoint now) {
  ConfirmCrashes(
      [&](const RelayLeaf& leaf) {
        return leaf.registration.address == address;
      },
      now);
}

void CrashLedger::OnLeafsChanged(TimePoint now) {
  ConfirmCrashes([](const RelayLeaf& leaf) { return leaf.is_gone; }, now);
}

void CrashLedger::OnAnswered(const RelayLeaf& leaf, TimePoint sent) {
  std::erase_if(m_lost_connections, [&](const LostConnection& lost) {
    return lost.leaf.get() == &leaf && lost.at < sent;
  });
}

void CrashLedger::OnPeerCrash(std::uint64_t fingerprint, TimePoint now) {
  AddCrash(fingerprint, now);
}

std::vector<std::uint64_t> CrashLedger::TakeCrashes() {
  return std::exchange(m_unreported_crashes, {});
}

template <typename Predicate>
void CrashLedger::ConfirmCrashes(Predicate is_gone, TimePoint now) {
  std::erase_if(m_lost_connections, [&](const LostConnection& lost) {
    if (now - lost.at >= kConfirmationTimeout) {
      return true;
    }
    if (!is_gone(*lost.leaf)) {
      return false;
    }
    if (AddCrash(lost.fingerprint, lost.at)) {
      m_unreported_crashes.push_back(lost.fingerprint);
    }
    return true;
  });
}

// Peers report crashes with a delay, so the times of several daemons may be out
// of order.
bool CrashLedger::AddCrash(std::uint64_t fingerprint, TimePoint at) {
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
