#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "request/stall_predictor.h"

namespace bramleyspoke {

/// What a leaf says of its load in an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// How long one kind of request takes somewhere.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration usual) : m_usual(usual), m_recent(usual) {}

  void Record(Duration latency, TimePoint now);
  /// What is usual there; moves slowly.
  Duration Usual() const { return m_usual; }
  /// What is to be expected now: recent latency, which loses weight with age.
  Duration Expected(TimePoint now) const;

 private:
  Duration m_usual;
  Duration m_recent;
  TimePoint m_recorded_at;
};

/// How long each kind of request usually takes, over all leafs: what is assumed
/// of a leaf that was not seen at work yet.
class WorkTable {
 public:
  /// Before the first answer of a kind.
  static constexpr Duration kPrior = std::chrono::milliseconds(20);

  void Record(const std::string& kind, Duration work, TimePoint now);
  Duration Usual(const std::string& kind) const;

 private:
  std::map<std::string, LatencyEstimate> m_kinds;
};

/// What is known of all leafs together.
struct FleetPatterns {
  WorkTable work;
  StallPeriod stalls;
};

/// What one daemon sees of one leaf's load, mostly from its own requests.
///
/// Answers the load of leafs that pause for a quarter of a second now and
/// then, turn slow for seconds, or fail part of their requests: a leaf that
/// has been silent for longer than usual is passed over for new work until it
/// answers again.
class LeafLoad {
 public:
  /// A leaf is silent after the way there and back, this many times its usual
  /// work...
  static constexpr double kSilentFactor = 2.5;
  /// ...and this.
  static constexpr Duration kSilentMargin = std::chrono::milliseconds(5);
  /// Expected rest of a pause.
  static constexpr Duration kSilentCost = std::chrono::milliseconds(150);
  /// Cost of a request that fails, for weighing a leaf's failures.
  static constexpr Duration kFailureCost = std::chrono::milliseconds(200);

  /// `way` is what is assumed of the way there and back until it was seen.
  LeafLoad(std::uint32_t slots,
           Duration way,
           std::shared_ptr<FleetPatterns> fleet)
      : m_slots(slots), m_way(way), m_fleet(std::move(fleet)) {}

  void OnSent(TimePoint now);
  /// An attempt ended without word of the leaf's state.
  void OnEnded(TimePoint now);
  /// `way` is the part of `latency` that the way there and back took.
  void OnAnswered(const std::string& kind,
                  Duration latency,
                  std::optional<Duration> way,
                  const std::optional<ReportedLoad>& load,
                  TimePoint now);
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  /// The leaf has no room: it is left alone for a moment.
  void OnShed(TimePoint now);
  void OnUnreachable(TimePoint now);
  void OnReachable();

  /// Another daemon saw the leaf stall.
  void NoteStall(TimePoint begin, TimePoint end);
  const StallPredictor& Stalls() const { return m_stalls; }

  std::uint32_t InFlight() const { return m_in_flight; }
  bool IsSilent(TimePoint now) const;
  /// Whether it may get work at all just now.
  bool IsUsable(TimePoint now) const;
  bool IsUnreachable(TimePoint now) const { return now < m_unreachable_until; }
  /// Expected time to an answer, with the queue there.
  Duration Cost(const std::string& kind, TimePoint now) const;
  /// The part of it that is a foretold stall; zero while the leaf is silent,
  /// as it may not come back.
  Duration ForetoldHoldUp(const std::string& kind, TimePoint now) const;
  /// After how long an attempt there is overdue.
  Duration Overdue(const std::string& kind) const;
  Duration Usual(const std::string& kind) const;
  Duration Way() const { return m_way; }
  /// Requests that are believed to be at the leaf, all daemons' together.
  double Occupancy(TimePoint now) const;

 private:
  const LatencyEstimate* Find(const std::string& kind) const;
  Duration UsualWork(const std::string& kind) const;
  void ObserveStall(const std::string& kind, Duration work, TimePoint now);
  Duration HoldUp(Duration work, TimePoint now) const;

  std::uint32_t m_slots;
  Duration m_way;
  std::shared_ptr<FleetPatterns> m_fleet;
  StallPredictor m_stalls;
  /// Without the way.
  std::map<std::string, LatencyEstimate> m_latencies;
  std::uint32_t m_in_flight = 0;
  /// Last sign of life, or when the first attempt now out was sent.
  TimePoint m_progress_at;
  /// Others' requests, as of `m_reported_at`.
  double m_others = 0;
  TimePoint m_reported_at;
  double m_failure_share = 0;
  TimePoint m_failed_at;
  std::uint32_t m_failures_in_row = 0;
  std::uint32_t m_ejections_in_row = 0;
  std::uint32_t m_sheds_in_row = 0;
  TimePoint m_ejected_until;
  TimePoint m_unreachable_until;
};

}  // namespace bramleyspoke
