#include "model_leaf.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke::Harness {

// The mean of a lognormal distribution is above its median.
Duration WorkTime::Sample(std::mt19937_64& random) const {
  std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
  const bool is_tail = std::bernoulli_distribution(tail_share)(random);
  return std::chrono::duration_cast<Duration>(
      mean * (factor(random) * (is_tail ? tail_factor : 1)));
}

void EventQueue::At(TimePoint time, std::function<void()> event) {
  m_events.emplace(Event{std::max(time, m_now), ++m_last_sequence},
                   std::move(event));
}

void EventQueue::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.begin()->first.time <= end) {
    auto next = m_events.extract(m_events.begin());
    m_now = next.key().time;
    next.mapped()();
  }
  m_now = std::max(m_now, end);
}

StallSchedule::StallSchedule(const LeafCapacity& capacity,
                             TimePoint begin,
                             double phase)
    : m_stall(capacity.stall),
      m_period(capacity.stall_period),
      m_first(begin + std::chrono::duration_cast<Duration>(m_period * phase)) {}

TimePoint StallSchedule::Next(TimePoint time) const {
  if (m_stall == Duration::zero()) {
    return TimePoint::max();
  }
  const Duration since = time - m_first;
  const std::int64_t periods =
      since < Duration::zero() ? 0 : since / m_period + 1;
  return m_first + m_period * periods;
}

TimePoint StallSchedule::After(TimePoint time) const {
  if (m_stall == Duration::zero()) {
    return time;
  }
  const TimePoint last = Next(time) - m_period;
  return std::max(time, last + m_stall);
}

TimePoint StallSchedule::EndOf(TimePoint from, Duration work) const {
  TimePoint time = After(from);
  TimePoint stall = Next(time);
  while (work > stall - time) {
    work -= stall - time;
    time = stall + m_stall;
    stall = Next(time);
  }
  return time + work;
}

ModelLeaf::ModelLeaf(EventQueue& events,
                     const LeafCapacity& capacity,
                     std::vector<LeafFault> faults,
                     std::uint64_t seed)
    : m_events(events),
      m_capacity(capacity),
      m_faults(std::move(faults)),
      m_begin(events.Now()),
      m_random(seed),
      m_stalls(capacity,
               m_begin,
               std::uniform_real_distribution<double>(0, 1)(m_random)) {}

double ModelLeaf::StrengthOf(LeafFaultKind kind) const {
  const Duration time = m_events.Now() - m_begin;
  for (const LeafFault& fault : m_faults) {
    if (fault.kind == kind && time >= fault.from && time < fault.until) {
      return fault.strength;
    }
  }
  return kind == LeafFaultKind::kSlow ? 1 : 0;
}

bool ModelLeaf::IsHit(double share) {
  return std::bernoulli_distribution(share)(m_random);
}

ReportedLoad ModelLeaf::Load() const {
  ReportedLoad load;
  load.running = static_cast<std::uint32_t>(m_running.size());
  load.waiting = static_cast<std::uint32_t>(m_waiting.size());
  load.slots = m_capacity.slots;
  return load;
}

void ModelLeaf::Arrive(LeafWork work) {
  const bool is_shed = IsHit(StrengthOf(LeafFaultKind::kShed));
  if (is_shed || m_waiting.size() >= m_capacity.queue) {
    work.done(LeafReplyKind::kRefused, Load());
    return;
  }
  m_events.At(m_stalls.After(work.deadline),
              [this, key = work.key] { Expire(key); });
  m_waiting.push_back(std::move(work));
  StartNext();
}

void ModelLeaf::StartNext() {
  const TimePoint now = m_events.Now();
  const TimePoint ready = m_stalls.After(now);
  if (ready > now) {
    if (!std::exchange(m_is_start_due, true)) {
      m_events.At(ready, [this] {
        m_is_start_due = false;
        StartNext();
      });
    }
    return;
  }
  while (!m_waiting.empty() && m_running.size() < m_capacity.slots) {
    LeafWork next = std::move(m_waiting.front());
    m_waiting.pop_front();
    Start(std::move(next));
  }
}

void ModelLeaf::Start(LeafWork work) {
  const double factor = StrengthOf(LeafFaultKind::kSlow);
  const bool fails = IsHit(StrengthOf(LeafFaultKind::kErrors));
  const auto duration =
      std::chrono::duration_cast<Duration>(work.work * (fails ? 0.1 : factor));
  const TimePoint end = m_stalls.EndOf(m_events.Now(), duration);
  const std::uint64_t key = work.key;
  const std::uint64_t run = ++m_last_run;
  m_running[key] = {std::move(work), run};
  m_events.At(end, [this, key, run, fails] {
    Finish(key, run,
           fails ? LeafReplyKind::kFailed : LeafReplyKind::kSucceeded);
  });
}

void ModelLeaf::Finish(std::uint64_t key,
                       std::uint64_t run,
                       LeafReplyKind kind) {
  const auto found = m_running.find(key);
  if (found == m_running.end() || found->second.run != run) {
    return;
  }
  const LeafWork work = std::move(found->second.work);
  m_running.erase(found);
  StartNext();
  work.done(kind, Load());
}

void ModelLeaf::Expire(std::uint64_t key) {
  const auto running = m_running.find(key);
  if (running != m_running.end()) {
    Finish(key, running->second.run, LeafReplyKind::kFailed);
    return;
  }
  const auto waiting =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const LeafWork& work) { return work.key == key; });
  if (waiting != m_waiting.end()) {
    const LeafWork work = std::move(*waiting);
    m_waiting.erase(waiting);
    work.done(LeafReplyKind::kRefused, Load());
  }
}

void ModelLeaf::Cancel(std::uint64_t key) {
  std::erase_if(m_waiting,
                [&](const LeafWork& work) { return work.key == key; });
  if (m_running.erase(key) > 0) {
    StartNext();
  }
}

}  // namespace bramleyspoke::Harness
