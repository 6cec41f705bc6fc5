#include "process/unrouted_requests.h"

#include <algorithm>
#include <utility>

namespace bramleyspoke {
namespace {

// Removes the requests for which `is_taken` is true and returns them.
template <typename Predicate>
std::vector<UnroutedRequest> TakeIf(std::vector<UnroutedRequest>& held,
                                    Predicate is_taken) {
  const auto first_taken = std::stable_partition(
      held.begin(), held.end(),
      [&](const UnroutedRequest& request) { return !is_taken(request); });
  std::vector<UnroutedRequest> taken(std::make_move_iterator(first_taken),
                                     std::make_move_iterator(held.end()));
  held.erase(first_taken, held.end());
  return taken;
}

}  // namespace

void UnroutedRequests::OnConfirmed(TimePoint at) {
  m_confirmed_at = std::max(at, m_confirmed_at.value_or(at));
}

bool UnroutedRequests::AreRoutesCurrent(TimePoint now) const {
  return m_confirmed_at && now - *m_confirmed_at <= kMaxConfirmationAge;
}

void UnroutedRequests::Hold(UnroutedRequest request) {
  m_held.push_back(std::move(request));
}

void UnroutedRequests::Remove(const HttpExchange& exchange) {
  std::erase_if(m_held, [&](const UnroutedRequest& request) {
    return request.exchange.get() == &exchange;
  });
}

std::vector<UnroutedRequest> UnroutedRequests::TakeConfirmed() {
  return TakeIf(m_held, [this](const UnroutedRequest& request) {
    return AreRoutesCurrent(request.arrived);
  });
}

std::vector<UnroutedRequest> UnroutedRequests::TakeExpired(TimePoint now) {
  return TakeIf(m_held, [now](const UnroutedRequest& request) {
    return now - request.arrived >= kMaxHold;
  });
}

std::vector<UnroutedRequest> UnroutedRequests::TakeAll() {
  return std::exchange(m_held, {});
}

std::optional<TimePoint> UnroutedRequests::NextExpiry() const {
  if (m_held.empty()) {
    return std::nullopt;
  }
  return m_held.front().arrived + kMaxHold;
}

}  // namespace bramleyspoke
