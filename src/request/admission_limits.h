#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/refusal.h"
#include "version/manifest.h"

namespace bramleyspoke {

/// Limits requests in flight, per daemon and per caller.
///
/// Lower service classes may use only part of the daemon's limit, so that they
/// cannot cause an urgent request to be refused.
class AdmissionLimits {
 public:
  explicit AdmissionLimits(std::size_t max_in_flight);

  void SetCallers(const std::vector<CallerSpec>& callers);
  /// Admits and counts a request, or returns why it is refused.
  std::optional<Refusal> Admit(ServiceClass service_class,
                               const std::string& caller);
  /// Stops counting an admitted request; called once for each when it ends.
  void Release(const std::string& caller);
  std::size_t InFlight() const { return m_in_flight; }

 private:
  std::size_t m_max_in_flight;
  std::size_t m_in_flight = 0;
  std::map<std::string, std::size_t> m_limits;
  std::map<std::string, std::size_t> m_by_caller;
};

}  // namespace bramleyspoke
