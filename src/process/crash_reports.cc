#include "process/crash_reports.h"

#include <algorithm>
#include <string>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

// All services of a relay have the same holders.
const std::string kAllServices;

}  // namespace

CrashReports::CrashReports(EventLoop& loop,
                           const Clock& clock,
                           PeerNetwork& peers,
                           MemberUpdate self)
    : m_loop(loop),
      m_clock(clock),
      m_peers(peers),
      m_self(std::move(self)),
      m_alive(std::make_shared<CrashReports*>(this)) {}

CrashReports::~CrashReports() = default;

void CrashReports::SetPeers(std::set<Endpoint> peers) {
  m_notices.SetHolders(kAllServices, std::move(peers));
  ScheduleNewReports();
}

void CrashReports::Add(const LeafCrash& crash) {
  const TimePoint now = m_clock.Now();
  if (m_notices.Add(MakeEvidenceNotice(crash, now), {kAllServices}, now)) {
    ScheduleNewReports();
  }
}

// A request to many shards may crash a leaf each few milliseconds, and may
// reach another daemon within tens of milliseconds.
void CrashReports::ScheduleNewReports() {
  const TimePoint now = m_clock.Now();
  ScheduleSend(m_last_send ? std::max(now, *m_last_send + kBatchDelay) : now);
}

void CrashReports::ScheduleSend(TimePoint at) {
  if ((m_timer_at && *m_timer_at <= at) || !m_notices.HasUndelivered()) {
    return;
  }
  m_timer_at = at;
  m_timer = m_loop.At(at, [this] {
    m_timer_at.reset();
    Send();
  });
}

// Replies arrive on the peers' thread.
void CrashReports::Send() {
  const TimePoint now = m_clock.Now();
  m_last_send = now;
  for (const NoticeDelivery& delivery : m_notices.TakeDue(now)) {
    GossipMessage message;
    message.sender = m_self;
    message.evidence = delivery.evidence;
    m_peers.Gossip(delivery.peer, message, kCallTimeout,
                   [&loop = m_loop, weak = std::weak_ptr(m_alive),
                    delivery](const std::optional<GossipMessage>& reply) {
                     loop.Post([weak, delivery, is_received = bool(reply)] {
                       if (const auto self = weak.lock()) {
                         (*self)->OnReply(delivery, is_received);
                       }
                     });
                   });
  }
  ScheduleSend(now + kResendInterval);
}

void CrashReports::OnReply(const NoticeDelivery& delivery, bool is_received) {
  m_notices.OnReply(delivery.number, is_received);
  if (!is_received) {
    WriteLog(LogLevel::kWarning, "crash_report_lost",
             {Field("peer", ToString(delivery.peer)),
              Field("crashes", delivery.evidence.size())});
  }
}

EvidenceNotice MakeEvidenceNotice(const LeafCrash& crash, TimePoint now) {
  EvidenceNotice notice;
  notice.service = crash.part.service;
  notice.fingerprint = crash.part.content;
  notice.crashes = crash.is_taken_back ? 0 : 1;
  notice.id = crash.id;
  notice.age = now - crash.at;
  notice.is_survived = crash.is_survived;
  notice.resource = crash.part.resource;
  return notice;
}

LeafCrash ReadEvidenceNotice(const EvidenceNotice& notice, TimePoint now) {
  return {{notice.fingerprint, notice.service, notice.resource},
          notice.id,
          now - notice.age,
          notice.is_survived,
          notice.crashes == 0};
}

}  // namespace bramleyspoke
