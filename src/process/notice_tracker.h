#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Notices due for one peer.
struct NoticeDelivery {
  /// Identifies the delivery in `OnReply`.
  std::uint64_t number = 0;
  Endpoint peer;
  std::vector<EvidenceNotice> evidence;
  std::vector<DrainNotice> drains;
};

/// Tracks the delivery of crash evidence and drain notices to the other holders
/// of a service.
///
/// Only holders send requests to a service's leafs, so only they need notices.
/// A notice is sent to each holder until that holder answers, and for its
/// lifetime also to daemons that become holders later. Reads no clock and does
/// no I/O.
class NoticeTracker {
 public:
  /// Returns false if the notice is already known.
  bool Add(const EvidenceNotice& evidence,
           const std::set<std::string>& services,
           TimePoint now);
  bool Add(const DrainNotice& drain,
           const std::set<std::string>& services,
           TimePoint now);

  /// Sets the service's holders, without this daemon.
  void SetHolders(const std::string& service, std::set<Endpoint> holders);

  /// Returns the deliveries that are due and marks them as sent. The ages of
  /// evidence are those at `now`.
  std::vector<NoticeDelivery> TakeDue(TimePoint now);
  void OnReply(std::uint64_t number, bool is_received);

  std::size_t Size() const { return m_notices.size(); }
  /// Whether a notice has not reached all of its holders.
  bool HasUndelivered() const;

 private:
  struct Notice {
    std::set<std::string> services;
    std::vector<EvidenceNotice> evidence;
    std::vector<DrainNotice> drains;
    TimePoint added_at;
    /// Peers that acknowledged the notice.
    std::set<Endpoint> received;
    /// Time of the last delivery to each peer.
    std::map<Endpoint, TimePoint> sent_at;
  };
  struct PendingDelivery {
    Endpoint peer;
    std::vector<std::string> notices;
  };

  void Insert(const std::string& key, Notice notice);
  bool IsDue(const Notice& notice, const Endpoint& peer, TimePoint now) const;

  std::map<std::string, Notice> m_notices;
  std::map<std::string, std::set<Endpoint>> m_holders;
  std::map<std::uint64_t, PendingDelivery> m_pending_deliveries;
  std::uint64_t m_next_delivery = 1;
};

}  // namespace bramleyspoke
