#include "process/peer_watches.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

KeyValueChanges Failure(KeyValueStatus status) {
  KeyValueChanges changes;
  changes.status = status;
  return changes;
}

const KeyValueChanges kUnknownRevision = Failure(KeyValueStatus::kHistoryGone);
const KeyValueChanges kInterrupted = Failure(KeyValueStatus::kRefused);

}  // namespace

PeerWatches::PeerWatches(EventLoop& loop) : m_loop(loop) {}

PeerWatches::~PeerWatches() = default;

// A peer may be ahead of this daemon: it then waits until it no longer is.
bool PeerWatches::MustWait(std::int64_t revision) const {
  return revision >= m_history.Revision();
}

void PeerWatches::Watch(const PeerWatch& watch, Reply reply) {
  if (m_is_leaving) {
    reply(kInterrupted);
    return;
  }
  const bool is_unknown = m_history.Revision() == 0 || watch.era != m_era ||
                          m_waiting.size() >= kMaxWatches;
  if (is_unknown) {
    reply(kUnknownRevision);
    return;
  }
  if (!MustWait(watch.revision)) {
    reply(m_history.Since(watch.revision).value_or(kUnknownRevision));
    return;
  }
  m_waiting.push_back({watch.revision, Now() + std::min(watch.wait, kMaxWait),
                       std::move(reply)});
  ArmTimer();
}

void PeerWatches::Append(std::uint64_t era,
                         std::int64_t after,
                         const KeyValueChanges& changes) {
  if (era != m_era) {
    Interrupt();
    m_era = era;
  }
  m_history.Append(after, changes);
  AnswerReady();
}

void PeerWatches::Interrupt() {
  m_history.Clear();
  m_timer.reset();
  if (!m_waiting.empty()) {
    WriteLog(LogLevel::kInfo, "peer_watches_refused",
             {Field("watches", m_waiting.size())});
  }
  for (const Waiting& waiting : std::exchange(m_waiting, {})) {
    waiting.reply(kInterrupted);
  }
}

void PeerWatches::BeginLeaving() {
  m_is_leaving = true;
  Interrupt();
}

void PeerWatches::AnswerReady() {
  std::list<Waiting> ready;
  for (auto next = m_waiting.begin(); next != m_waiting.end();) {
    const auto waiting = next++;
    if (!MustWait(waiting->revision)) {
      ready.splice(ready.end(), m_waiting, waiting);
    }
  }
  for (const Waiting& waiting : ready) {
    waiting.reply(m_history.Since(waiting.revision).value_or(kUnknownRevision));
  }
}

void PeerWatches::AnswerExpired() {
  std::list<Waiting> expired;
  const TimePoint now = Now();
  for (auto next = m_waiting.begin(); next != m_waiting.end();) {
    const auto waiting = next++;
    if (waiting->until <= now) {
      expired.splice(expired.end(), m_waiting, waiting);
    }
  }
  for (const Waiting& waiting : expired) {
    KeyValueChanges changes;
    changes.status = KeyValueStatus::kOk;
    changes.revision = waiting.revision;
    waiting.reply(std::move(changes));
  }
  ArmTimer();
}

void PeerWatches::ArmTimer() {
  if (m_waiting.empty()) {
    m_timer.reset();
    return;
  }
  const auto next = std::min_element(
      m_waiting.begin(), m_waiting.end(),
      [](const Waiting& a, const Waiting& b) { return a.until < b.until; });
  m_timer = m_loop.At(next->until, [this] { AnswerExpired(); });
}

}  // namespace bramleyspoke
