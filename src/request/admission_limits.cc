#include "request/admission_limits.h"

namespace bramleyspoke {
namespace {

constexpr std::chrono::milliseconds kRetryAfter{200};

// Requests of the class are refused once those in flight, of any class, reach
// this percentage of the daemon's limit.
constexpr std::size_t PercentFor(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kUrgent:
      return 100;
    case ServiceClass::kInteractive:
      return 80;
    case ServiceClass::kBatch:
      return 50;
  }
  return 0;
}

Refusal MakeRefusal(RefusalReason reason, std::string detail) {
  return Refusal{reason, Verdict::kNotRun, std::move(detail), kRetryAfter};
}

}  // namespace

AdmissionLimits::AdmissionLimits(std::size_t max_in_flight)
    : m_max_in_flight(max_in_flight) {}

void AdmissionLimits::SetCallers(const std::vector<CallerSpec>& callers) {
  m_limits.clear();
  for (const CallerSpec& caller : callers) {
    m_limits[caller.name] = caller.max_in_flight;
  }
}

std::optional<Refusal> AdmissionLimits::Admit(ServiceClass service_class,
                                              const std::string& caller) {
  const std::size_t class_limit =
      m_max_in_flight * PercentFor(service_class) / 100;
  if (m_in_flight >= class_limit) {
    return MakeRefusal(
        RefusalReason::kOverloaded,
        "requests in flight at this daemon: " + std::to_string(m_in_flight));
  }
  const auto limit = m_limits.find(caller);
  if (limit != m_limits.end() && m_by_caller[caller] >= limit->second) {
    return MakeRefusal(
        RefusalReason::kCallerLimit,
        "requests in flight for this caller: " + std::to_string(limit->second));
  }
  ++m_in_flight;
  ++m_by_caller[caller];
  return std::nullopt;
}

void AdmissionLimits::Release(const std::string& caller) {
  --m_in_flight;
  const auto found = m_by_caller.find(caller);
  if (found != m_by_caller.end() && --found->second == 0) {
    m_by_caller.erase(found);
  }
}

}  // namespace bramleyspoke
