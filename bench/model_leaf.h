#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/time.h"
#include "request/relay.h"

namespace bramleyspoke::Harness {

/// Distribution of the time that a request keeps a slot busy.
struct WorkTime {
  Duration mean{0};
  /// Standard deviation of the logarithm.
  double spread = 0.35;
  /// Share of requests that take `tail_factor` times as long.
  double tail_share = 0.01;
  double tail_factor = 5;

  Duration Sample(std::mt19937_64& random) const;
};

struct LeafCapacity {
  std::uint32_t slots = 2;
  /// Requests that wait for a slot, beyond which more are refused.
  std::size_t queue = 12;
  /// The leaf stands still for `stall` each `stall_period`, each at its own
  /// time.
  Duration stall{0};
  Duration stall_period = std::chrono::seconds(7);
};

/// The stalls of one leaf.
class StallSchedule {
 public:
  /// `phase`, from 0 to 1, is the part of a period before the first stall.
  StallSchedule(const LeafCapacity& capacity, TimePoint begin, double phase);

  /// When work begun at `from` ends.
  TimePoint EndOf(TimePoint from, Duration work) const;
  /// End of the stall at `time`; `time` if there is none.
  TimePoint After(TimePoint time) const;

 private:
  TimePoint Next(TimePoint time) const;

  Duration m_stall;
  Duration m_period;
  TimePoint m_first;
};

enum class LeafFaultKind {
  /// Work takes `strength` times as long.
  kSlow,
  /// Refuses the share `strength` of what arrives.
  kShed,
  /// Fails the share `strength` of what it runs.
  kErrors,
};

struct LeafFault {
  LeafFaultKind kind = LeafFaultKind::kSlow;
  double strength = 1;
  Duration from{0};
  Duration until{0};
};

/// Events in simulated time, in the order of their times.
class EventQueue {
 public:
  TimePoint Now() const { return m_now; }
  void At(TimePoint time, std::function<void()> event);
  /// Runs all events up to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) < std::pair(other.time, other.sequence);
    }
  };

  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_last_sequence = 0;
  std::map<Event, std::function<void()>> m_events;
};

/// A request at a modelled leaf.
struct LeafWork {
  /// Identifies it at the leaf.
  std::uint64_t key = 0;
  Duration work{0};
  /// When the leaf drops it or stops work on it.
  TimePoint deadline;
  std::function<void(LeafReplyKind, ReportedLoad)> done;
};

/// A leaf with slots, a queue, stalls and faults.
class ModelLeaf {
 public:
  ModelLeaf(EventQueue& events,
            const LeafCapacity& capacity,
            std::vector<LeafFault> faults,
            std::uint64_t seed);

  void Arrive(LeafWork work);
  /// Ends the work on a request whose connection was closed.
  void Cancel(std::uint64_t key);

 private:
  struct Running {
    LeafWork work;
    std::uint64_t run = 0;
  };

  double StrengthOf(LeafFaultKind kind) const;
  bool IsHit(double share);
  void StartNext();
  void Start(LeafWork work);
  void Finish(std::uint64_t key, std::uint64_t run, LeafReplyKind kind);
  void Expire(std::uint64_t key);
  ReportedLoad Load() const;

  EventQueue& m_events;
  LeafCapacity m_capacity;
  std::vector<LeafFault> m_faults;
  TimePoint m_begin;
  std::mt19937_64 m_random;
  StallSchedule m_stalls;
  std::deque<LeafWork> m_waiting;
  std::map<std::uint64_t, Running> m_running;
  std::uint64_t m_last_run = 0;
  bool m_is_start_due = false;
};

}  // namespace bramleyspoke::Harness
