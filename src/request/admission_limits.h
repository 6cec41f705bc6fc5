#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/refusal.h"
#include "version/manifest.h"

namespace bramleyspoke {

/// Counts requests in flight against a daemon's and each caller's limit.
///
/// Lower classes may use only part of the daemon's limit, so that an urgent
/// request is never refused for want of room that they took.
class AdmissionLimits {
 public:
  explicit AdmissionLimits(std::size_t max_in_flight);

  void SetCallers(const std::vector<CallerSpec>& callers);
  /// Admits and counts a request, or says why not.
  std::optional<Refusal> Admit(ServiceClass service_class,
                               const std::string& caller);
  /// Ends a request that was admitted.
  void Release(const std::string& caller);
  std::size_t InFlight() const { return m_in_flight; }

 private:
  std::size_t m_max_in_flight;
  std::size_t m_in_flight = 0;
  std::map<std::string, std::size_t> m_limits;
  std::map<std::string, std::size_t> m_by_caller;
};

}  // namespace bramleyspoke
