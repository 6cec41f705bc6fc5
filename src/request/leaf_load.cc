#include "request/leaf_load.h"

#include <algorithm>
#include <cmath>

namespace bramleyspoke {
namespace {

// Weight of a new sample, and how many times the estimate a sample may be: one
// stall must not make a leaf look slow for long.
constexpr double kRecentWeight = 0.2;
constexpr double kRecentCap = 4;
// Relative step of the running median per sample.
constexpr double kUsualStep = 0.03;
// Time until the recent latency has lost most of its weight.
constexpr double kRecentFadeSeconds = 1.5;
// Time until most of the reported requests of other daemons have finished or
// been replaced.
constexpr double kReportFadeSeconds = 0.3;
// Lower bound of the processing time, which is the latency without the
// round-trip time.
constexpr Duration kLeastWork = std::chrono::milliseconds(1);
// Silence of more than this many times the median processing time is a stall.
constexpr double kStallFactor = 2;
// A request is assumed to run for this many times its expected processing time
// when checked against a predicted stall.
constexpr double kStallLead = 1.5;
constexpr double kFailureWeight = 0.15;
constexpr double kFailureFadeSeconds = 2;

constexpr std::uint32_t kFailuresToEject = 4;
constexpr Duration kFirstEjection = std::chrono::milliseconds(400);
constexpr std::uint32_t kMostDoublings = 3;
constexpr Duration kFirstShedPause = std::chrono::milliseconds(10);
constexpr Duration kUnreachablePause = std::chrono::milliseconds(1200);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

double Fade(TimePoint since, TimePoint now, double seconds) {
  return std::exp(-Seconds(now - since) / seconds);
}

}  // namespace

void LatencyEstimate::Record(Duration latency, TimePoint now) {
  const double step = latency > m_usual ? 1 + kUsualStep : 1 / (1 + kUsualStep);
  const Duration recent = Expected(now);
  const Duration capped = std::min(latency, Scale(recent, kRecentCap));
  m_recent = recent + Scale(capped - recent, kRecentWeight);
  m_usual = Scale(m_usual, step);
  m_recorded_at = now;
}

Duration LatencyEstimate::Expected(TimePoint now) const {
  return m_usual + Scale(m_recent - m_usual,
                         Fade(m_recorded_at, now, kRecentFadeSeconds));
}

void WorkTable::Record(const std::string& kind, Duration work, TimePoint now) {
  m_kinds.try_emplace(kind, work).first->second.Record(work, now);
}

Duration WorkTable::Usual(const std::string& kind) const {
  const auto found = m_kinds.find(kind);
  return found == m_kinds.end() ? kPrior : found->second.Usual();
}

void LeafLoad::OnSent(TimePoint now) {
  if (m_in_flight++ == 0) {
    m_progress_at = now;
  }
}

void LeafLoad::OnEnded(TimePoint) {
  m_in_flight -= m_in_flight > 0 ? 1 : 0;
}

void LeafLoad::OnAnswered(const std::string& kind,
                          Duration latency,
                          std::optional<Duration> way,
                          const std::optional<ReportedLoad>& load,
                          TimePoint now) {
  m_sheds_in_row = 0;
  m_unreachable_until = {};
  m_way = way.value_or(m_way);
  const Duration work = std::max(latency - m_way, kLeastWork);
  ObserveStall(kind, work, now);
  m_progress_at = now;
  m_fleet->work.Record(kind, work, now);
  m_latencies.try_emplace(kind, m_fleet->work.Usual(kind))
      .first->second.Record(work, now);
  if (load) {
    const double all = static_cast<double>(load->running) + load->waiting;
    m_others = std::max(0.0, all - static_cast<double>(m_in_flight));
    m_reported_at = now;
    m_slots = std::max<std::uint32_t>(load->slots, 1);
  }
}

void LeafLoad::OnSuccess(TimePoint now) {
  m_failures_in_row = 0;
  m_ejections_in_row = 0;
  m_failure_share *= Fade(m_failed_at, now, kFailureFadeSeconds);
  m_failure_share *= 1 - kFailureWeight;
  m_failed_at = now;
}

void LeafLoad::OnFailure(TimePoint now) {
  m_failure_share *= Fade(m_failed_at, now, kFailureFadeSeconds);
  m_failure_share += (1 - m_failure_share) * kFailureWeight;
  m_failed_at = now;
  if (++m_failures_in_row < kFailuresToEject) {
    return;
  }
  const std::uint32_t doublings = std::min(m_ejections_in_row, kMostDoublings);
  m_ejected_until = now + kFirstEjection * (1U << doublings);
  ++m_ejections_in_row;
  m_failures_in_row = 0;
}

void LeafLoad::OnShed(TimePoint now) {
  m_progress_at = now;
  const std::uint32_t doublings = std::min(m_sheds_in_row, kMostDoublings);
  m_ejected_until =
      std::max(m_ejected_until, now + kFirstShedPause * (1U << doublings));
  ++m_sheds_in_row;
}

void LeafLoad::OnUnreachable(TimePoint now) {
  m_unreachable_until = now + kUnreachablePause;
}

void LeafLoad::OnReachable() {
  m_unreachable_until = {};
}

void LeafLoad::NoteStall(TimePoint begin, TimePoint end) {
  m_stalls.OnStall(begin, end, m_fleet->stalls);
}

bool LeafLoad::IsSilent(TimePoint now) const {
  if (m_in_flight == 0) {
    return false;
  }
  Duration longest = m_latencies.empty() ? WorkTable::kPrior : kLeastWork;
  for (const auto& [kind, latency] : m_latencies) {
    longest = std::max(longest, latency.Usual());
  }
  return now - m_progress_at >
         m_way + Scale(longest, kSilentFactor) + kSilentMargin;
}

bool LeafLoad::IsUsable(TimePoint now) const {
  return now >= m_ejected_until && now >= m_unreachable_until;
}

Duration LeafLoad::Cost(const std::string& kind, TimePoint now) const {
  const LatencyEstimate* latency = Find(kind);
  const Duration usual = UsualWork(kind);
  const Duration expected = latency ? latency->Expected(now) : usual;
  const double queue =
      std::max(0.0, Occupancy(now) + 1 - static_cast<double>(m_slots));
  Duration cost = m_way + expected + Scale(usual, queue / m_slots);
  cost += Scale(kFailureCost,
                m_failure_share * Fade(m_failed_at, now, kFailureFadeSeconds));
  const Duration held_up = HoldUp(expected, now);
  return cost + (IsSilent(now) ? std::max(kSilentCost, held_up) : held_up);
}

Duration LeafLoad::ForetoldHoldUp(const std::string& kind,
                                  TimePoint now) const {
  const LatencyEstimate* latency = Find(kind);
  const Duration expected = latency ? latency->Expected(now) : UsualWork(kind);
  return IsSilent(now) ? Duration::zero() : HoldUp(expected, now);
}

// A stall also delays requests that are still running when it begins.
Duration LeafLoad::HoldUp(Duration work, TimePoint now) const {
  const TimePoint arrives = now + m_way / 2;
  return m_stalls.HoldUp(arrives, arrives + Scale(work, kStallLead),
                         m_fleet->stalls);
}

// Silence counts from the leaf's last response or from the arrival of the
// request, whichever is later.
void LeafLoad::ObserveStall(const std::string& kind,
                            Duration work,
                            TimePoint now) {
  const TimePoint answered = now - m_way / 2;
  const TimePoint sent = now - m_way - work;
  const TimePoint silent_since = std::max(m_progress_at, sent) + m_way / 2;
  const Duration usual = UsualWork(kind);
  if (work < Scale(usual, 2)) {
    m_stalls.OnPrompt(sent + m_way / 2, answered, m_fleet->stalls);
  } else if (answered - silent_since > Scale(usual, kStallFactor)) {
    m_stalls.OnStall(silent_since, answered, m_fleet->stalls);
  }
}

Duration LeafLoad::Overdue(const std::string& kind) const {
  return m_way + Scale(UsualWork(kind), kSilentFactor) + kSilentMargin;
}

Duration LeafLoad::Usual(const std::string& kind) const {
  return m_way + UsualWork(kind);
}

Duration LeafLoad::UsualWork(const std::string& kind) const {
  const LatencyEstimate* latency = Find(kind);
  return latency ? latency->Usual() : m_fleet->work.Usual(kind);
}

double LeafLoad::Occupancy(TimePoint now) const {
  return m_in_flight + m_others * Fade(m_reported_at, now, kReportFadeSeconds);
}

const LatencyEstimate* LeafLoad::Find(const std::string& kind) const {
  const auto found = m_latencies.find(kind);
  return found == m_latencies.end() ? nullptr : &found->second;
}

}  // namespace bramleyspoke
