#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"
#include "process/notice_tracker.h"
#include "request/crash_ledger.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Reports crashes of leafs to the other holders, again until each has
/// received them.
///
/// Used on the loop's thread only.
class CrashReports {
 public:
  /// Least time between two calls to a peer, in which reports are collected.
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(20);
  /// Interval at which undelivered reports are considered again.
  static constexpr Duration kResendInterval = std::chrono::seconds(1);
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  CrashReports(EventLoop& loop,
               const Clock& clock,
               PeerNetwork& peers,
               MemberUpdate self);
  ~CrashReports();

  /// Sets the daemons that get reports, without this one.
  void SetPeers(std::set<Endpoint> peers);
  void Add(const LeafCrash& crash);

 private:
  /// Sends the undelivered reports at `at`, or earlier if that is scheduled.
  void ScheduleSend(TimePoint at);
  void ScheduleNewReports();
  void Send();
  void OnReply(const NoticeDelivery& delivery, bool is_received);

  EventLoop& m_loop;
  const Clock& m_clock;
  PeerNetwork& m_peers;
  MemberUpdate m_self;
  NoticeTracker m_notices;
  std::optional<TimePoint> m_last_send;
  std::unique_ptr<Timer> m_timer;
  /// Set while `m_timer` is.
  std::optional<TimePoint> m_timer_at;
  std::shared_ptr<CrashReports*> m_alive;
};

/// The notice that reports `crash` to peers. One that was taken back has none;
/// a peer of an earlier version takes it for one that it knows already.
EvidenceNotice MakeEvidenceNotice(const LeafCrash& crash, TimePoint now);
/// The crash that a peer's notice reports.
LeafCrash ReadEvidenceNotice(const EvidenceNotice& notice, TimePoint now);

}  // namespace bramleyspoke
