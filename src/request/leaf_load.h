#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "request/leaf_slowness.h"
#include "request/outcome_share.h"
#include "request/stall_predictor.h"

namespace bramleyspoke {

/// The load that a leaf reports in a response, in requests.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Running median of the latency of one kind of request; adapts slowly.
class LatencyMedian {
 public:
  explicit LatencyMedian(Duration initial) : m_median(initial) {}

  void Record(Duration latency);
  Duration Value() const { return m_median; }

 private:
  Duration m_median;
};

/// Estimated processing time of each kind of request over all leafs. Assumed
/// for a leaf that has not responded to the kind yet.
class ProcessingTimeTable {
 public:
  /// Estimate before the first response of a kind.
  static constexpr Duration kInitialEstimate = std::chrono::milliseconds(20);

  void Record(const std::string& kind, Duration processing_time);
  Duration Median(const std::string& kind) const;

 private:
  std::map<std::string, LatencyMedian> m_medians;
};

/// Statistics over all leafs, and what holds for all of them.
struct FleetStatistics {
  /// Whether this daemon reaches none of them.
  bool is_out_of_reach = false;
  ProcessingTimeTable processing_times;
  StallPeriod stalls;
};

/// One daemon's estimate of a leaf's load, mostly from its own requests.
///
/// Leafs may stall for a quarter of a second, become slow for seconds, or fail
/// part of their requests. A silent leaf has a higher cost for new attempts
/// until it responds again.
class LeafLoad {
 public:
  /// A leaf is silent if attempts are in flight and it has not responded for
  /// longer than the round-trip time, plus `kSilentFactor` times the longest
  /// median processing time of its kinds of request, plus `kSilentMargin`.
  static constexpr double kSilentFactor = 2.5;
  static constexpr Duration kSilentMargin = std::chrono::milliseconds(5);
  /// Expected remaining time of the stall of a silent leaf.
  static constexpr Duration kSilentCost = std::chrono::milliseconds(150);
  /// Cost of a failed request, weighted by the leaf's share of failures: the
  /// time until it fails, and a retry.
  static constexpr Duration kFailureCost = std::chrono::milliseconds(400);
  /// Cost of an attempt that the leaf refuses for lack of capacity, weighted by
  /// its share. Retries are limited, and so a leaf that refuses is to get only
  /// what the others cannot take: this is longer than a queue or a stall there.
  static constexpr Duration kShedCost = std::chrono::milliseconds(800);

  /// `round_trip` is the round-trip time assumed until one is measured.
  LeafLoad(std::uint32_t slots,
           Duration round_trip,
           std::shared_ptr<FleetStatistics> fleet);

  void OnSent(TimePoint now);
  /// Records the end of an attempt, whatever its outcome.
  void OnEnded(TimePoint now);
  /// `round_trip` is the part of `latency` that was spent on the network.
  void OnAnswered(const std::string& kind,
                  Duration latency,
                  std::optional<Duration> round_trip,
                  const std::optional<ReportedLoad>& load,
                  TimePoint now);
  /// Records that the leaf gave an attempt up at its deadline, after `latency`.
  void OnExpired(const std::string& kind,
                 Duration latency,
                 const std::optional<ReportedLoad>& load,
                 TimePoint now);
  void OnSuccess(TimePoint now);
  void OnFailure(TimePoint now);
  /// Records that the leaf refused an attempt for lack of capacity. It is
  /// ejected for a short time and costs more until it accepts attempts again: a
  /// leaf that refuses has few requests and answers at once, and would seem the
  /// best one.
  void OnShed(TimePoint now);
  void OnUnreachable(TimePoint now);
  void OnReachable();
  /// Takes back what failed attempts said of the leaf: the daemon was the
  /// cause.
  void OnContactRestored();

  /// Records a stall that another daemon observed.
  void NoteStall(TimePoint begin, TimePoint end);
  const StallPredictor& Stalls() const { return m_stalls; }

  /// When the leaf last answered; the clock's origin if it has not.
  TimePoint LastAnswer() const { return m_last_answer; }
  std::uint32_t InFlight() const { return m_in_flight; }
  bool IsSilent(TimePoint now) const;
  /// Whether the leaf is neither ejected nor unreachable.
  bool IsUsable(TimePoint now) const;
  bool IsUnreachable(TimePoint now) const {
    return m_fleet->is_out_of_reach || now < m_unreachable_until;
  }
  /// Expected time to a response, including the queue at the leaf and predicted
  /// stalls.
  Duration ExpectedLatency(const std::string& kind, TimePoint now) const;
  /// Expected latency and the cost of failures and refusals.
  Duration Cost(const std::string& kind, TimePoint now) const;
  /// The part of the cost that is due to a predicted stall; zero while the leaf
  /// is silent, as it may not recover.
  Duration PredictedStallDelay(const std::string& kind, TimePoint now) const;
  /// Time after which an attempt at the leaf is overdue.
  Duration OverdueAfter(const std::string& kind) const;
  /// Estimated latency: round-trip time and median processing time.
  Duration EstimatedLatency(const std::string& kind) const;
  Duration RoundTripTime() const { return m_round_trip; }
  /// Estimated number of requests at the leaf, from all daemons.
  double Occupancy(TimePoint now) const;

 private:
  Duration MedianProcessingTime(const std::string& kind) const;
  /// Expected processing time without waiting for other requests.
  Duration ServiceTime(const std::string& kind, TimePoint now) const;
  /// Records a processing time as a multiple of other leafs'.
  void RecordSpeed(const std::string& kind,
                   Duration processing_time,
                   const std::optional<ReportedLoad>& load,
                   TimePoint now);
  void RecordLoad(const ReportedLoad& load, TimePoint now);
  void ObserveStall(const std::string& kind,
                    Duration processing_time,
                    TimePoint now);
  Duration PredictedDelay(Duration processing_time, TimePoint now) const;

  std::uint32_t m_slots;
  Duration m_round_trip;
  std::shared_ptr<FleetStatistics> m_fleet;
  StallPredictor m_stalls;
  /// Processing times by kind, without the round-trip time.
  std::map<std::string, LatencyMedian> m_processing_times;
  LeafSlowness m_slowness;
  std::uint32_t m_in_flight = 0;
  /// Time of the last response, or when the first of the attempts in flight was
  /// sent.
  TimePoint m_last_activity;
  TimePoint m_last_answer;
  /// Number of requests from other daemons, as of `m_reported_at`.
  double m_other_requests = 0;
  TimePoint m_reported_at;
  OutcomeShare m_failures;
  OutcomeShare m_sheds;
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_consecutive_ejections = 0;
  std::uint32_t m_consecutive_sheds = 0;
  TimePoint m_ejected_until;
  std::uint32_t m_consecutive_unreachable = 0;
  TimePoint m_unreachable_until;
};

}  // namespace bramleyspoke
