#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "request/leaf_table.h"

namespace bramleyspoke {

/// Identifies the content of a request, whichever caller sends it and however
/// often.
std::uint64_t FingerprintOfContent(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);
/// Identifies the content of a request to one service.
std::uint64_t FingerprintOfPart(std::uint64_t content,
                                std::string_view service);

/// Counts the leafs that crashed while they ran the same request.
///
/// A request may crash every leaf that runs it and be sent again repeatedly, to
/// any daemon; many leafs may also fail at once, which no request has caused. A
/// lost connection counts as a crash only if the leaf is found unreachable, no
/// longer registered or replaced within `kConfirmationTimeout`.
class CrashLedger {
 public:
  /// Number of crashes after which a request is refused.
  static constexpr std::size_t kCrashLimit = 3;
  /// Crashes closer together than this count as one failure of several leafs.
  static constexpr Duration kMinCrashSpacing = std::chrono::milliseconds(100);
  /// Time within which the leaf of a lost connection must be found unreachable,
  /// no longer registered or replaced.
  static constexpr Duration kConfirmationTimeout = std::chrono::seconds(5);
  /// How long a crash counts.
  static constexpr Duration kCrashRetention = std::chrono::minutes(10);

  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;

  /// Records that a leaf ran the request and responded.
  void OnSurvived(std::uint64_t fingerprint);
  /// Records that the connection was lost while the leaf may have been running
  /// the request.
  void OnLost(std::uint64_t fingerprint,
              const std::shared_ptr<const RelayLeaf>& leaf,
              TimePoint now);
  /// Records that nothing listens at the leaf's address.
  void OnUnreachable(const Endpoint& address, TimePoint now);
  /// To be called after leafs were added or removed.
  void OnLeafsChanged(TimePoint now);
  /// Records that the leaf responded to an attempt sent at `sent`: connections
  /// lost before that were no crashes.
  void OnAnswered(const RelayLeaf& leaf, TimePoint sent);

  /// Records a crash that a peer reported.
  void OnPeerCrash(std::uint64_t fingerprint, TimePoint now);
  /// Fingerprints of the crashes observed by this daemon since the last call.
  std::vector<std::uint64_t> TakeCrashes();

  /// Number of requests with at least one crash.
  std::size_t size() const { return m_crashes.size(); }

 private:
  struct LostConnection {
    std::uint64_t fingerprint = 0;
    std::shared_ptr<const RelayLeaf> leaf;
    TimePoint at;
  };

  template <typename Predicate>
  void ConfirmCrashes(Predicate is_gone, TimePoint now);
  bool AddCrash(std::uint64_t fingerprint, TimePoint at);

  /// Lost connections not confirmed as crashes yet, the oldest first.
  std::vector<LostConnection> m_lost_connections;
  /// Times of the crashes that count, in order, by fingerprint.
  std::unordered_map<std::uint64_t, std::vector<TimePoint>> m_crashes;
  std::vector<std::uint64_t> m_unreported_crashes;
};

}  // namespace bramleyspoke
