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

/// The load that a leaf reports in a response, in requests.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Estimated latency of one kind of request.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration usual) : m_usual(usual), m_recent(usual) {}

  void Record(Duration latency, TimePoint now);
  /// Running median, which adapts slowly.
  Duration Usual() const { return m_usual; }
  /// Expected latency at `now`: the recent latency, which decays to the median
  /// with age.
  Duration Expected(TimePoint now) const;

 private:
  Duration m_usual;
  Duration m_recent;
  TimePoint m_recorded_at;
};

/// Estimated processing time of each kind of request over all leafs. Assumed
/// for a leaf that has not responded to the kind yet.
class WorkTable {
 public:
  /// Estimate before the first response of a kind.
  static constexpr Duration kPrior = std::chrono::milliseconds(20);

  void Record(const std::string& kind, Duration work, TimePoint now);
  Duration Usual(const std::string& kind) const;

 private:
  std::map<std::string, LatencyEstimate> m_kinds;
};

/// Statistics over all leafs.
struct FleetPatterns {
  WorkTable work;
  StallPeriod stalls;
};

/// One daemon's estimate of a leaf's load, mostly from its own requests.
///
/// Load: leafs stall for a quarter of a second now and then, become slow for
/// seconds, or fail part of their requests. A leaf that has been silent for
/// longer than usual is avoided for new attempts until it responds again.
class LeafLoad {
 public:
  /// A leaf counts as silent when it has not responded for the round-trip time
  /// plus this many times its median processing time...
  static constexpr double kSilentFactor = 2.5;
  /// ...plus this margin.
  static constexpr Duration kSilentMargin = std::chrono::milliseconds(5);
  /// Expected remaining time of the stall of a silent leaf.
  static constexpr Duration kSilentCost = std::chrono::milliseconds(150);
  /// Cost of a failed request, weighted by the leaf's share of failures.
  static constexpr Duration kFailureCost = std::chrono::milliseconds(200);

  /// `round_trip` is the round-trip time assumed until one is measured.
  LeafLoad(std::uint32_t slots,
           Duration way,
           std::shared_ptr<FleetPatterns> fleet)
      : m_slots(slots), m_way(way), m_fleet(std::move(fleet)) {}

  void OnSent(TimePoint now);
  /// Records the end of an attempt, whatever its outcome.
  void OnEnded(TimePoint now);
  /// `round_trip` is the part of `latency` that was spent on the network.
  void OnAnswered(const std::string& kind,
                  Duration latency,
                  std::optional<Duration> way,
                  const std::optional<ReportedLoad>& load,
                  TimePoint now);
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  /// Records that the leaf refused an attempt for lack of capacity: it is
  /// ejected for a moment.
  void OnShed(TimePoint now);
  void OnUnreachable(TimePoint now);
  void OnReachable();

  /// Records a stall that another daemon observed.
  void NoteStall(TimePoint begin, TimePoint end);
  const StallPredictor& Stalls() const { return m_stalls; }

  std::uint32_t InFlight() const { return m_in_flight; }
  bool IsSilent(TimePoint now) const;
  /// Whether the leaf is neither ejected nor unreachable.
  bool IsUsable(TimePoint now) const;
  bool IsUnreachable(TimePoint now) const { return now < m_unreachable_until; }
  /// Expected time to a response, including the queue at the leaf, predicted
  /// stalls and the cost of failures.
  Duration Cost(const std::string& kind, TimePoint now) const;
  /// The part of the cost that is due to a predicted stall; zero while the leaf
  /// is silent, as it may not recover.
  Duration ForetoldHoldUp(const std::string& kind, TimePoint now) const;
  /// Time after which an attempt at the leaf is overdue.
  Duration Overdue(const std::string& kind) const;
  /// Estimated latency: round-trip time and median processing time.
  Duration Usual(const std::string& kind) const;
  Duration Way() const { return m_way; }
  /// Estimated number of requests at the leaf, from all daemons.
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
  /// Processing times by kind, without the round-trip time.
  std::map<std::string, LatencyEstimate> m_latencies;
  std::uint32_t m_in_flight = 0;
  /// Time of the last response, or when the first of the attempts in flight was
  /// sent.
  TimePoint m_progress_at;
  /// Number of requests from other daemons, as of `m_reported_at`.
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
