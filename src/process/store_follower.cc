#include "process/store_follower.h"

#include <algorithm>
#include <map>
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

void ApplyTo(std::vector<KeyValueItem>& items,
             const std::vector<KeyValueEvent>& events) {
  std::map<std::string, std::string> values;
  for (KeyValueItem& item : items) {
    values[std::move(item.key)] = std::move(item.value);
  }
  for (const KeyValueEvent& event : events) {
    if (event.value) {
      values[event.key] = *event.value;
    } else {
      values.erase(event.key);
    }
  }
  items.clear();
  for (auto& [key, value] : values) {
    items.push_back({key, std::move(value)});
  }
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
    m_read_revision = 0;
    m_called_at = Now();
    ++m_read;
  }
  m_store.Range(
      kAllKeys, after, m_read_age,
      [weak = std::weak_ptr(m_self), read = m_read](KeyValuePage page) {
        if (const auto self = weak.lock()) {
          (*self)->OnPage(read, std::move(page));
        }
      });
}

// The pages are no consistent snapshot, so changes are watched from the lowest
// of their revisions: some are received again.
void StoreFollower::OnPage(std::uint64_t read, KeyValuePage page) {
  if (read != m_read) {
    return;
  }
  if (page.status != KeyValueStatus::kOk) {
    OnFailure(page.status);
    return;
  }
  m_read_revision = m_read_revision == 0
                        ? page.revision
                        : std::min(m_read_revision, page.revision);
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  if (page.has_more && !m_items.empty()) {
    ReadNextPage();
    return;
  }
  m_revision = m_read_revision;
  m_is_from_peer = false;
  m_is_catching_up =
      std::exchange(m_read_age, ReadAge::kCurrent) == ReadAge::kMayBeOld;
  if (!m_is_catching_up) {
    ReportKeys(page.status);
  }
  Watch();
}

void StoreFollower::ReadNextPage() {
  const bool may_delay =
      m_read_age == ReadAge::kMayBeOld && !m_was_read_delayed;
  const Duration delay =
      may_delay ? m_listener.DelayOfNextPage(m_items) : Duration::zero();
  if (delay == Duration::zero()) {
    ReadPage(std::string(m_items.back().key));
    return;
  }
  m_was_read_delayed = true;
  m_timer = m_loop.At(Now() + delay,
                      [this] { ReadPage(std::string(m_items.back().key)); });
}

// The call shows the store at some time since it began.
void StoreFollower::ReportKeys(KeyValueStatus status) {
  const StoreCallEnd end = EndOfCall(status);
  OnSuccess();
  m_listener.OnKeys(m_items, end);
  Confirm(m_called_at);
  m_items.clear();
  m_items.shrink_to_fit();
}

Duration StoreFollower::NextWait() const {
  if (m_is_catching_up) {
    return kCatchUpWait;
  }
  return m_is_unavailable || m_is_probing ? kProbeWait : m_timings.watch_wait;
}

void StoreFollower::Watch() {
  m_watch = ++m_last_watch;
  m_called_at = Now();
  const Duration wait = NextWait();
  m_store.Watch(kAllKeys, m_revision, wait,
                [weak = std::weak_ptr(m_self),
                 watch = m_watch](const KeyValueChanges& changes) {
                  if (const auto self = weak.lock()) {
                    (*self)->OnChanges(watch, changes);
                  }
                });
  if (wait <= kProbeWait) {
    return;
  }
  if (std::exchange(m_is_check_due, false)) {
    Check();
  } else {
    ScheduleCheck();
  }
}

// A peer's answers do not delay the check.
void StoreFollower::ScheduleCheck() {
  const TimePoint now = Now();
  const TimePoint due = m_confirmed_at.value_or(now) + m_check_interval;
  m_check_timer = m_loop.At(std::max(now, due), [this] { Check(); });
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

// The changes may still be on their way when the revision arrives.
void StoreFollower::OnRevision(std::uint64_t watch,
                               TimePoint read_at,
                               const KeyValueRevision& read) {
  m_is_check_outstanding = false;
  const bool is_ok = read.status == KeyValueStatus::kOk;
  const bool is_current = is_ok && read.revision <= m_revision;
  if (is_current && !IsAheadOfStore(read.revision)) {
    Confirm(read_at);
  }
  const bool is_same_watch = m_watch != 0 && watch == m_watch;
  if (is_current || !is_ok) {
    if (is_same_watch && is_current) {
      ScheduleCheck();
    } else if (is_same_watch) {
      Probe();
    }
    return;
  }
  if (is_same_watch || m_is_from_peer) {
    m_overdue_timer =
        m_loop.At(Now() + m_timings.max_watch_delay,
                  [this, watch, read_at, revision = read.revision] {
                    OnChangesDue(watch, read_at, revision);
                  });
  }
}

// A new watch at the store has all changes, one at a peer may miss the same.
void StoreFollower::OnChangesDue(std::uint64_t watch,
                                 TimePoint read_at,
                                 std::int64_t revision) {
  if (m_revision >= revision) {
    Confirm(std::max(read_at, m_confirmed_at.value_or(read_at)));
    return;
  }
  if (watch != m_watch && !m_is_from_peer) {
    return;
  }
  WriteLog(LogLevel::kWarning, "watch_overdue",
           {Field("revision", m_revision), Field("store_revision", revision),
            Field("from_peer", m_is_from_peer)});
  if (m_watch == 0) {
    m_is_probing = true;
    return;
  }
  Probe();
}

// The store may have returned an old revision, but hardly twice for one that
// has not changed in between. What the peer said before may then be false as
// well.
bool StoreFollower::IsAheadOfStore(std::int64_t revision) {
  if (!m_is_from_peer || revision >= m_revision) {
    return false;
  }
  if (std::exchange(m_doubted_revision, m_revision) != m_revision) {
    return false;
  }
  WriteLog(LogLevel::kWarning, "peer_revision_doubted",
           {Field("revision", m_revision), Field("store_revision", revision)});
  m_doubted_revision = 0;
  ReadAgain();
  return true;
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
  m_overdue_timer.reset();
  ++m_read;
  m_revision = 0;
  m_items.clear();
  m_is_catching_up = false;
  m_read_age = ReadAge::kCurrent;
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
    m_is_catching_up = false;
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
  m_is_from_peer = changes.is_from_peer;
  if (m_is_catching_up) {
    CatchUp(changes);
    return;
  }
  const StoreCallEnd end = EndOfCall(changes.status);
  OnSuccess();
  if (!changes.events.empty()) {
    m_listener.OnChanges(changes.events, end);
  }
  if (!changes.has_more && !changes.is_from_peer) {
    Confirm(Now());
  }
  // A delay after a full response would only let the daemon fall behind.
  const bool is_batch = !changes.events.empty() && !changes.has_more;
  ScheduleNext(is_batch ? m_timings.batch_delay : Duration::zero());
}

void StoreFollower::CatchUp(const KeyValueChanges& changes) {
  ApplyTo(m_items, changes.events);
  if (!changes.has_more) {
    m_is_catching_up = false;
    ReportKeys(changes.status);
  }
  ScheduleNext(Duration::zero());
}

void StoreFollower::OnFailure(KeyValueStatus status) {
  if (!std::exchange(m_is_unavailable, true)) {
    m_listener.OnStoreUnavailable(EndOfCall(status));
  }
  const Duration delay = m_retry_delay;
  m_retry_delay = std::min(m_retry_delay * 2, m_timings.max_retry_delay);
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
  StoreCallEnd end;
  end.status = status;
  end.waited = now - m_called_at;
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
