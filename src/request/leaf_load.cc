#include "request/leaf_load.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {
namespace {

// Relative step of the running median per sample.
constexpr double kMedianStep = 0.03;
// Time until most of the reported requests of other daemons have finished or
// been replaced.
constexpr double kReportDecaySeconds = 0.3;
// Lower bound of the processing time, which is the latency without the
// round-trip time.
constexpr Duration kMinProcessingTime = std::chrono::milliseconds(1);
// Silence of more than this many times the median processing time is a stall.
constexpr double kStallFactor = 2;
// A request is assumed to run for this many times its expected processing time
// when checked against a predicted stall.
constexpr double kStallLookaheadFactor = 1.5;
constexpr double kFailureWeight = 0.15;
constexpr Duration kFailureDecayTime = std::chrono::seconds(2);
constexpr double kShedWeight = 0.3;
constexpr Duration kShedDecayTime = std::chrono::seconds(5);

constexpr std::uint32_t kFailuresToEject = 4;
constexpr Duration kInitialEjection = std::chrono::milliseconds(400);
constexpr std::uint32_t kMaxDoublings = 3;
constexpr Duration kInitialShedEjection = std::chrono::milliseconds(10);
// A leaf at its connection limit refuses a connection like one that has ended,
// but may accept another one soon. Doubled with each failure up to the maximum.
constexpr Duration kInitialUnreachableTime = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxUnreachableDoublings = 4;
constexpr Duration kMaxUnreachableTime = std::chrono::milliseconds(1200);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

// Number of requests that each slot has to process until one that joins the
// reported queue has ended.
double TurnsOf(const std::optional<ReportedLoad>& load) {
  return load ? 1 + static_cast<double>(load->waiting) /
                        std::max<std::uint32_t>(load->slots, 1)
              : 1;
}

double DecayFactor(TimePoint since, TimePoint now, double seconds) {
  return std::exp(-Seconds(now - since) / seconds);
}

}  // namespace

void LatencyMedian::Record(Duration latency) {
  const double step =
      latency > m_median ? 1 + kMedianStep : 1 / (1 + kMedianStep);
  m_median = Scale(m_median, step);
}

void ProcessingTimeTable::Record(const std::string& kind,
                                 Duration processing_time) {
  m_medians.try_emplace(kind, processing_time)
      .first->second.Record(processing_time);
}

Duration ProcessingTimeTable::Median(const std::string& kind) const {
  const auto found = m_medians.find(kind);
  return found == m_medians.end() ? kInitialEstimate : found->second.Value();
}

LeafLoad::LeafLoad(std::uint32_t slots,
                   Duration round_trip,
                   std::shared_ptr<FleetStatistics> fleet)
    : m_slots(slots),
      m_round_trip(round_trip),
      m_fleet(std::move(fleet)),
      m_failures(kFailureWeight, kFailureDecayTime),
      m_sheds(kShedWeight, kShedDecayTime) {}

void LeafLoad::OnSent(TimePoint now) {
  if (m_in_flight++ == 0) {
    m_last_activity = now;
  }
}

void LeafLoad::OnEnded(TimePoint) {
  m_in_flight -= m_in_flight > 0 ? 1 : 0;
}

void LeafLoad::OnAnswered(const std::string& kind,
                          Duration latency,
                          std::optional<Duration> round_trip,
                          const std::optional<ReportedLoad>& load,
                          TimePoint now) {
  m_consecutive_sheds = 0;
  m_sheds.Record(false, now);
  OnReachable();
  m_round_trip = round_trip.value_or(m_round_trip);
  const Duration processing_time =
      std::max(latency - m_round_trip, kMinProcessingTime);
  ObserveStall(kind, processing_time, now);
  m_last_activity = now;
  m_last_answer = now;
  RecordSpeed(kind, processing_time, load, now);
  m_processing_times.try_emplace(kind, m_fleet->processing_times.Median(kind))
      .first->second.Record(processing_time);
  if (load) {
    RecordLoad(*load, now);
  }
}

// It may have been given up while it waited, so only what the reported queue
// does not explain is slowness.
void LeafLoad::OnExpired(const std::string& kind,
                         Duration latency,
                         const std::optional<ReportedLoad>& load,
                         TimePoint now) {
  m_last_activity = now;
  const double multiple = Seconds(latency - m_round_trip) /
                          Seconds(m_fleet->processing_times.Median(kind));
  m_slowness.RecordAtLeast(std::max(1.0, multiple / TurnsOf(load)), now);
  if (load) {
    RecordLoad(*load, now);
  }
}

void LeafLoad::RecordLoad(const ReportedLoad& load, TimePoint now) {
  const double all = static_cast<double>(load.running) + load.waiting;
  m_other_requests = std::max(0.0, all - static_cast<double>(m_in_flight));
  m_reported_at = now;
  m_slots = std::max<std::uint32_t>(load.slots, 1);
}

// The requests that wait at the leaf now stand for those that this one waited
// behind. They may explain that it took longer than usual, but others may have
// arrived after it: they do not make the leaf faster than usual.
void LeafLoad::RecordSpeed(const std::string& kind,
                           Duration processing_time,
                           const std::optional<ReportedLoad>& load,
                           TimePoint now) {
  const double turns = TurnsOf(load);
  const Duration usual = m_fleet->processing_times.Median(kind);
  const double multiple = Seconds(processing_time) / Seconds(usual);
  const double own_multiple =
      std::min(multiple, std::max(1.0, multiple / turns));
  m_fleet->processing_times.Record(kind, Scale(processing_time, 1 / turns));
  m_slowness.Record(own_multiple, now);
}

void LeafLoad::OnSuccess(TimePoint now) {
  m_consecutive_failures = 0;
  m_consecutive_ejections = 0;
  m_failures.Record(false, now);
}

void LeafLoad::OnFailure(TimePoint now) {
  m_failures.Record(true, now);
  if (++m_consecutive_failures < kFailuresToEject) {
    return;
  }
  const std::uint32_t doublings =
      std::min(m_consecutive_ejections, kMaxDoublings);
  m_ejected_until = now + kInitialEjection * (1U << doublings);
  ++m_consecutive_ejections;
  m_consecutive_failures = 0;
}

void LeafLoad::OnShed(TimePoint now) {
  m_last_activity = now;
  const std::uint32_t doublings = std::min(m_consecutive_sheds, kMaxDoublings);
  m_ejected_until =
      std::max(m_ejected_until, now + kInitialShedEjection * (1U << doublings));
  ++m_consecutive_sheds;
  m_sheds.Record(true, now);
}

void LeafLoad::OnUnreachable(TimePoint now) {
  if (now < m_unreachable_until) {
    return;
  }
  const std::uint32_t doublings =
      std::min(m_consecutive_unreachable, kMaxUnreachableDoublings);
  m_unreachable_until =
      now + std::min(kMaxUnreachableTime,
                     kInitialUnreachableTime * (1U << doublings));
  ++m_consecutive_unreachable;
}

void LeafLoad::OnReachable() {
  m_consecutive_unreachable = 0;
  m_unreachable_until = {};
}

void LeafLoad::OnContactRestored() {
  OnReachable();
  m_ejected_until = {};
  m_failures.Reset();
  m_sheds.Reset();
  m_consecutive_failures = 0;
  m_consecutive_ejections = 0;
}

void LeafLoad::NoteStall(TimePoint begin, TimePoint end) {
  m_stalls.OnStall(begin, end, m_fleet->stalls);
}

bool LeafLoad::IsSilent(TimePoint now) const {
  if (m_in_flight == 0) {
    return false;
  }
  Duration longest = m_processing_times.empty()
                         ? ProcessingTimeTable::kInitialEstimate
                         : kMinProcessingTime;
  for (const auto& [kind, median] : m_processing_times) {
    longest = std::max(longest, median.Value());
  }
  return now - m_last_activity >
         m_round_trip + Scale(longest, kSilentFactor) + kSilentMargin;
}

bool LeafLoad::IsUsable(TimePoint now) const {
  return now >= m_ejected_until && !IsUnreachable(now);
}

Duration LeafLoad::ExpectedLatency(const std::string& kind,
                                   TimePoint now) const {
  const Duration service_time = ServiceTime(kind, now);
  const double queue =
      std::max(0.0, Occupancy(now) + 1 - static_cast<double>(m_slots));
  const Duration latency =
      m_round_trip + Scale(service_time, 1 + queue / m_slots);
  const Duration predicted_delay = PredictedDelay(service_time, now);
  return latency + (IsSilent(now) ? std::max(kSilentCost, predicted_delay)
                                  : predicted_delay);
}

Duration LeafLoad::Cost(const std::string& kind, TimePoint now) const {
  return ExpectedLatency(kind, now) + Scale(kFailureCost, m_failures.At(now)) +
         Scale(kShedCost, m_sheds.At(now));
}

Duration LeafLoad::PredictedStallDelay(const std::string& kind,
                                       TimePoint now) const {
  return IsSilent(now) ? Duration::zero()
                       : PredictedDelay(ServiceTime(kind, now), now);
}

// A stall also delays requests that are still running when it begins.
Duration LeafLoad::PredictedDelay(Duration processing_time,
                                  TimePoint now) const {
  const TimePoint arrives = now + m_round_trip / 2;
  return m_stalls.PredictedDelay(
      arrives, arrives + Scale(processing_time, kStallLookaheadFactor),
      m_fleet->stalls);
}

// Silence counts from the leaf's last response or from the arrival of the
// request, whichever is later.
void LeafLoad::ObserveStall(const std::string& kind,
                            Duration processing_time,
                            TimePoint now) {
  const TimePoint answered = now - m_round_trip / 2;
  const TimePoint sent = now - m_round_trip - processing_time;
  const TimePoint silent_since =
      std::max(m_last_activity, sent) + m_round_trip / 2;
  const Duration median = MedianProcessingTime(kind);
  if (processing_time < Scale(median, 2)) {
    m_stalls.OnPromptResponse(sent + m_round_trip / 2, answered,
                              m_fleet->stalls);
  } else if (answered - silent_since > Scale(median, kStallFactor)) {
    m_stalls.OnStall(silent_since, answered, m_fleet->stalls);
  }
}

Duration LeafLoad::OverdueAfter(const std::string& kind) const {
  return m_round_trip + Scale(MedianProcessingTime(kind), kSilentFactor) +
         kSilentMargin;
}

Duration LeafLoad::EstimatedLatency(const std::string& kind) const {
  return m_round_trip + MedianProcessingTime(kind);
}

Duration LeafLoad::MedianProcessingTime(const std::string& kind) const {
  const auto found = m_processing_times.find(kind);
  return found == m_processing_times.end()
             ? m_fleet->processing_times.Median(kind)
             : found->second.Value();
}

Duration LeafLoad::ServiceTime(const std::string& kind, TimePoint now) const {
  return Scale(m_fleet->processing_times.Median(kind), m_slowness.At(now));
}

double LeafLoad::Occupancy(TimePoint now) const {
  return m_in_flight + m_other_requests *
                           DecayFactor(m_reported_at, now, kReportDecaySeconds);
}

}  // namespace bramleyspoke
