#include "process/store_follower.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

// The store's revision counts the changes of all keys, so all are watched.
const std::string kAllKeys;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop,
                             KeyValueStore& store,
                             Duration apply_bound,
                             StoreListener& listener)
    : m_loop(loop),
      m_store(store),
      m_check_interval(apply_bound / kChecksPerApplyBound),
      m_listener(listener),
      m_self(std::make_shared<StoreFollower*>(this)) {}

StoreFollower::~StoreFollower() = default;

void StoreFollower::Start() {
  ScheduleNext(Duration::zero());
}

void StoreFollower::ReadPage(const std::string& after) {
  if (after.empty()) {
    m_items.clear();
    m_first_page_revision = 0;
    m_called_at = Now();
    ++m_read;
  }
  m_store.Range(
      kAllKeys, after,
      [weak = std::weak_ptr(m_self), read = m_read](KeyValuePage page) {
        if (const auto self = weak.lock()) {
          (*self)->OnPage(read, std::move(page));
        }
      });
}

// The pages are no consistent snapshot, so changes are watched from the first
// page's revision: changes between the pages are received again.
void StoreFollower::OnPage(std::uint64_t read, KeyValuePage page) {
  if (read != m_read) {
    return;
  }
  if (page.status != KeyValueStatus::kOk) {
    OnFailure(page.status);
    return;
  }
  if (m_first_page_revision == 0) {
    m_first_page_revision = page.revision;
  }
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  if (page.has_more && !m_items.empty()) {
    ReadPage(std::string(m_items.back().key));
    return;
  }
  m_revision = m_first_page_revision;
  const StoreCallEnd end = EndOfCall(page.status);
  OnSuccess();
  m_listener.OnKeys(m_items, end);
  // The read shows the store at some time since it began.
  Confirm(m_called_at);
  m_items.clear();
  m_items.shrink_to_fit();
  Watch();
}

void StoreFollower::Watch() {
  m_watch = ++m_last_watch;
  m_called_at = Now();
  const bool is_short = m_is_unavailable || m_is_probing;
  m_store.Watch(kAllKeys, m_revision,
                is_short ? kProbeWait : m_timings.watch_wait,
                [weak = std::weak_ptr(m_self),
                 watch = m_watch](const KeyValueChanges& changes) {
                  if (const auto self = weak.lock()) {
                    (*self)->OnChanges(watch, changes);
                  }
                });
  if (is_short) {
    return;
  }
  if (std::exchange(m_is_check_due, false)) {
    Check();
  } else {
    ScheduleCheck();
  }
}

void StoreFollower::ScheduleCheck() {
  m_check_timer = m_loop.At(Now() + m_check_interval, [this] { Check(); });
}

void StoreFollower::CheckNow() {
  if (m_is_unavailable || m_is_probing || m_revision == 0) {
    return;
  }
  if (m_watch != 0) {
    Check();
    return;
  }
  m_is_check_due = true;
  ScheduleNext(Duration::zero());
}

void StoreFollower::Check() {
  if (std::exchange(m_is_check_outstanding, true)) {
    return;
  }
  m_check_timer.reset();
  m_store.ReadRecentRevision([weak = std::weak_ptr(m_self), watch = m_watch,
                              read_at = Now()](const KeyValueRevision& read) {
    if (const auto self = weak.lock()) {
      (*self)->OnRevision(watch, read_at, read);
    }
  });
}

// The watch's response may still be on its way when the revision arrives.
void StoreFollower::OnRevision(std::uint64_t watch,
                               TimePoint read_at,
                               const KeyValueRevision& read) {
  m_is_check_outstanding = false;
  const bool is_ok = read.status == KeyValueStatus::kOk;
  const bool is_current = is_ok && read.revision <= m_revision;
  if (is_current) {
    m_listener.OnStoreConfirmed(read_at);
  }
  if (m_watch == 0 || watch != m_watch) {
    return;
  }
  if (is_current) {
    ScheduleCheck();
    return;
  }
  if (!is_ok) {
    Probe();
    return;
  }
  m_check_timer = m_loop.At(Now() + kMaxWatchDelay,
                            [this, watch, revision = read.revision] {
                              if (watch == m_watch) {
                                WriteLog(LogLevel::kWarning, "watch_overdue",
                                         {Field("revision", m_revision),
                                          Field("store_revision", revision)});
                                Probe();
                              }
                            });
}

void StoreFollower::Probe() {
  if (m_watch == 0 || m_is_unavailable || m_is_probing) {
    return;
  }
  m_watch = 0;
  m_check_timer.reset();
  m_store.CancelWatches();
  BeginProbe();
}

void StoreFollower::BeginProbe() {
  m_is_probing = true;
  WriteLog(LogLevel::kInfo, "watch_replaced",
           {Field("revision", m_revision),
            Field("waited_ms", ToMilliseconds(Now() - m_called_at))});
  Watch();
}

// In a new era of the store, a watch from a revision that was given out again
// would miss what was written before that.
void StoreFollower::ReadAgain() {
  m_watch = 0;
  m_check_timer.reset();
  ++m_read;
  m_revision = 0;
  m_items.clear();
  m_store.CancelWatches();
  ScheduleNext(Duration::zero());
}

void StoreFollower::OnChanges(std::uint64_t watch,
                              const KeyValueChanges& changes) {
  if (watch != m_watch) {
    return;
  }
  m_watch = 0;
  m_check_timer.reset();
  if (changes.status == KeyValueStatus::kHistoryGone) {
    m_revision = 0;
    ScheduleNext(Duration::zero());
    return;
  }
  // The connection may have broken although the store is available.
  if (changes.status == KeyValueStatus::kUnknown && !m_is_unavailable &&
      !m_is_probing) {
    BeginProbe();
    return;
  }
  if (changes.status != KeyValueStatus::kOk) {
    OnFailure(changes.status);
    return;
  }
  m_revision = std::max(m_revision, changes.revision);
  const StoreCallEnd end = EndOfCall(changes.status);
  OnSuccess();
  if (!changes.events.empty()) {
    m_listener.OnChanges(changes.events, end);
  }
  if (!changes.has_more) {
    Confirm(Now());
  }
  // A delay after a full response would only let the daemon fall behind.
  const bool is_batch = !changes.events.empty() && !changes.has_more;
  ScheduleNext(is_batch ? m_timings.batch_delay : Duration::zero());
}

void StoreFollower::OnFailure(KeyValueStatus status) {
  if (!std::exchange(m_is_unavailable, true)) {
    m_listener.OnStoreUnavailable(EndOfCall(status));
  }
  const Duration delay = m_retry_delay;
  m_retry_delay = std::min(m_retry_delay * 2, kMaxRetryDelay);
  ScheduleNext(delay);
}

void StoreFollower::Confirm(TimePoint at) {
  m_confirmed_at = at;
  m_listener.OnStoreConfirmed(at);
}

void StoreFollower::OnSuccess() {
  m_retry_delay = kMinRetryDelay;
  m_is_probing = false;
  if (std::exchange(m_is_unavailable, false)) {
    m_listener.OnStoreAvailable();
  }
}

StoreCallEnd StoreFollower::EndOfCall(KeyValueStatus status) const {
  const TimePoint now = Now();
  StoreCallEnd end{status, now - m_called_at, std::nullopt};
  if (m_confirmed_at) {
    end.unconfirmed = now - *m_confirmed_at;
  }
  return end;
}

void StoreFollower::ScheduleNext(Duration delay) {
  m_timer = m_loop.At(Now() + delay, [this] {
    if (m_revision == 0) {
      ReadPage({});
    } else {
      Watch();
    }
  });
}

}  // namespace bramleyspoke
