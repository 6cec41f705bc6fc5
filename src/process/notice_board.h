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
  /// Names the delivery in `OnReply`.
  std::uint64_t number = 0;
  Endpoint peer;
  std::vector<EvidenceNotice> evidence;
  std::vector<DrainNotice> drains;
};

/// Crash evidence and drain words, on their way to the other holders of the
/// service.
///
/// Only holders send to a service's leafs, so only they need to know. A notice
/// is sent until the holder has answered, and for a while to those that become
/// holders later. Pure: reads no clock and no socket.
class NoticeBoard {
 public:
  /// False when nothing in it is new.
  bool Add(const EvidenceNotice& evidence, TimePoint now);
  bool Add(const DrainNotice& drain,
           const std::set<std::string>& services,
           TimePoint now);

  /// The service's holders but for this daemon.
  void SetHolders(const std::string& service, std::set<Endpoint> holders);

  std::vector<NoticeDelivery> Due(TimePoint now);
  void OnReply(std::uint64_t number, bool is_received);

  std::size_t Size() const { return m_notices.size(); }

 private:
  struct Notice {
    std::set<std::string> services;
    std::vector<EvidenceNotice> evidence;
    std::vector<DrainNotice> drains;
    TimePoint added_at;
    /// Peers that have it; with the attempts while they have not.
    std::set<Endpoint> received;
    std::map<Endpoint, TimePoint> sent_at;
  };
  struct Delivery {
    Endpoint peer;
    std::vector<std::string> notices;
  };

  void Insert(const std::string& key, Notice notice);
  bool IsDue(const Notice& notice, const Endpoint& peer, TimePoint now) const;

  std::map<std::string, Notice> m_notices;
  std::map<std::string, std::set<Endpoint>> m_holders;
  std::map<std::uint64_t, Delivery> m_deliveries;
  std::uint64_t m_next_delivery = 1;
};

}  // namespace bramleyspoke
