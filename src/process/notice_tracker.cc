#include "process/notice_tracker.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr Duration kNoticeLifetime = std::chrono::minutes(10);
constexpr Duration kResendInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxNotices = 10000;

std::string KeyOf(const EvidenceNotice& evidence) {
  return evidence.service + "#" + std::to_string(evidence.fingerprint) + "#" +
         std::to_string(evidence.id) + "#" + std::to_string(evidence.crashes);
}

std::string KeyOf(const DrainNotice& drain) {
  return ToString(drain.leaf) + "~" + drain.incarnation;
}

}  // namespace

bool NoticeTracker::Add(const EvidenceNotice& evidence,
                        const std::set<std::string>& services,
                        TimePoint now) {
  const std::string key = KeyOf(evidence);
  if (m_notices.contains(key)) {
    return false;
  }
  Notice notice;
  notice.services = services;
  notice.evidence = {evidence};
  notice.added_at = now;
  Insert(key, std::move(notice));
  return true;
}

bool NoticeTracker::Add(const DrainNotice& drain,
                        const std::set<std::string>& services,
                        TimePoint now) {
  const std::string key = KeyOf(drain);
  if (m_notices.contains(key)) {
    return false;
  }
  Notice notice;
  notice.services = services;
  notice.drains = {drain};
  notice.added_at = now;
  Insert(key, std::move(notice));
  return true;
}

void NoticeTracker::Insert(const std::string& key, Notice notice) {
  if (m_notices.size() < kMaxNotices) {
    m_notices.emplace(key, std::move(notice));
  }
}

void NoticeTracker::SetHolders(const std::string& service,
                               std::set<Endpoint> holders) {
  m_holders[service] = std::move(holders);
}

bool NoticeTracker::IsDue(const Notice& notice,
                          const Endpoint& peer,
                          TimePoint now) const {
  if (notice.received.contains(peer)) {
    return false;
  }
  const auto sent = notice.sent_at.find(peer);
  return sent == notice.sent_at.end() || now - sent->second >= kResendInterval;
}

bool NoticeTracker::HasUndelivered() const {
  const auto is_delivered = [this](const Notice& notice) {
    return std::all_of(
        notice.services.begin(), notice.services.end(),
        [&](const std::string& service) {
          const auto holders = m_holders.find(service);
          return holders == m_holders.end() ||
                 std::includes(notice.received.begin(), notice.received.end(),
                               holders->second.begin(), holders->second.end());
        });
  };
  return !std::all_of(
      m_notices.begin(), m_notices.end(),
      [&](const auto& entry) { return is_delivered(entry.second); });
}

std::vector<NoticeDelivery> NoticeTracker::TakeDue(TimePoint now) {
  std::erase_if(m_notices, [&](const auto& entry) {
    return now - entry.second.added_at >= kNoticeLifetime;
  });
  std::map<Endpoint, NoticeDelivery> due;
  std::map<Endpoint, std::vector<std::string>> keys;
  for (auto& [key, notice] : m_notices) {
    for (const std::string& service : notice.services) {
      for (const Endpoint& peer : m_holders[service]) {
        if (!IsDue(notice, peer, now)) {
          continue;
        }
        notice.sent_at[peer] = now;
        NoticeDelivery& delivery = due[peer];
        for (EvidenceNotice evidence : notice.evidence) {
          evidence.age += now - notice.added_at;
          delivery.evidence.push_back(std::move(evidence));
        }
        delivery.drains.insert(delivery.drains.end(), notice.drains.begin(),
                               notice.drains.end());
        keys[peer].push_back(key);
      }
    }
  }
  std::vector<NoticeDelivery> deliveries;
  for (auto& [peer, delivery] : due) {
    delivery.peer = peer;
    delivery.number = m_next_delivery++;
    m_pending_deliveries[delivery.number] =
        PendingDelivery{peer, std::move(keys[peer])};
    deliveries.push_back(std::move(delivery));
  }
  return deliveries;
}

void NoticeTracker::OnReply(std::uint64_t number, bool is_received) {
  const auto delivery = m_pending_deliveries.find(number);
  if (delivery == m_pending_deliveries.end()) {
    return;
  }
  if (is_received) {
    for (const std::string& key : delivery->second.notices) {
      const auto notice = m_notices.find(key);
      if (notice != m_notices.end()) {
        notice->second.received.insert(delivery->second.peer);
      }
    }
  }
  m_pending_deliveries.erase(delivery);
}

}  // namespace bramleyspoke
