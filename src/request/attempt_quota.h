#pragma once

#include <cstdint>

namespace bramleyspoke {

/// Counts what one part of a request has used of its route's attempts, at this
/// daemon and at the peers that got the part from it.
class AttemptQuota {
 public:
  explicit AttemptQuota(std::uint32_t limit = 1) : m_limit(limit) {}

  /// An attempt at a leaf is about to be sent.
  void OnStarted() { ++m_outstanding; }
  /// An attempt has ended, or is no longer waited for.
  void OnEnded(bool may_have_run);

  /// The part is about to be delegated to a peer, which may make `allowed`
  /// attempts. What an earlier peer has not reported counts as used.
  void OnDelegated(std::uint32_t allowed);
  /// The peer's attempts so far may have run at `runs` leafs. If the report is
  /// not final, the peer may make the rest of its attempts yet.
  void OnPeerReport(std::uint32_t runs, bool is_final);
  void OnDelegationNotSent();
  /// No report of the peer will come.
  void OnDelegationLost();

  /// Attempts that may still be sent or delegated.
  std::uint32_t Left() const { return LeftAfter(AtPeers()); }
  /// The same if a peer uses none of the attempts that it has not reported.
  std::uint32_t LeftByReports() const;

  /// Leafs at which an attempt of this daemon may have run or may yet.
  std::uint32_t RunsHere() const { return m_runs + m_outstanding; }
  /// Leafs at which peers have reported that the part may have run.
  std::uint32_t ReportedRuns() const { return m_peer_runs + m_reported; }

 private:
  std::uint32_t AtPeers() const;
  std::uint32_t LeftAfter(std::uint32_t at_peers) const;

  std::uint32_t m_limit;
  std::uint32_t m_runs = 0;
  std::uint32_t m_outstanding = 0;
  /// Reported by peers that no longer have the part.
  std::uint32_t m_peer_runs = 0;
  /// Allowed to peers that were lost, and not reported.
  std::uint32_t m_lost = 0;
  /// Of the current delegation.
  std::uint32_t m_allowed = 0;
  std::uint32_t m_reported = 0;
};

}  // namespace bramleyspoke
