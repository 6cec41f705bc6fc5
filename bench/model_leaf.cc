#include "model_leaf.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke::Harness {

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

ModelLeaf::ModelLeaf(EventQueue& events,
                     const LeafCapacity& capacity,
                     std::vector<LeafFault> faults,
                     std::uint64_t seed)
    : m_events(events),
      m_capacity(capacity),
      m_faults(std::move(faults)),
      m_begin(events.Now()),
      m_random(seed) {
  std::uniform_real_distribution<double> phase(0, 1);
  m_phase = std::chrono::duration_cast<Duration>(m_capacity.stall_period *
                                                 phase(m_random));
}

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
  m_events.At(AfterStall(work.deadline),
              [this, key = work.key] { Expire(key); });
  m_waiting.push_back(std::move(work));
  StartNext();
}

void ModelLeaf::StartNext() {
  const TimePoint now = m_events.Now();
  const TimePoint ready = AfterStall(now);
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
  const TimePoint end = EndOf(duration);
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

TimePoint ModelLeaf::NextStall(TimePoint time) const {
  if (m_capacity.stall == Duration::zero()) {
    return TimePoint::max();
  }
  const Duration since = time - m_begin - m_phase;
  const std::int64_t periods =
      since < Duration::zero() ? 0 : since / m_capacity.stall_period + 1;
  return m_begin + m_phase + m_capacity.stall_period * periods;
}

TimePoint ModelLeaf::AfterStall(TimePoint time) const {
  if (m_capacity.stall == Duration::zero()) {
    return time;
  }
  const TimePoint last = NextStall(time) - m_capacity.stall_period;
  return std::max(time, last + m_capacity.stall);
}

TimePoint ModelLeaf::EndOf(Duration work) const {
  TimePoint time = AfterStall(m_events.Now());
  TimePoint stall = NextStall(time);
  while (work > stall - time) {
    work -= stall - time;
    time = stall + m_capacity.stall;
    stall = NextStall(time);
  }
  return time + work;
}

}  // namespace bramleyspoke::Harness
