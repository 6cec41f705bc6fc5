#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

class HttpExchange;

/// A request for whose path there is no route.
struct UnroutedRequest {
  std::shared_ptr<HttpExchange> exchange;
  TimePoint arrived;
};

/// Holds requests for whose path there is no route until the store has shown
/// that the routes are current.
///
/// Such a refusal is final for the caller, so it must not rest on routes that
/// may have been replaced since the store last responded. Reads no clock.
class UnroutedRequests {
 public:
  /// Time for which the routes count as current after a confirmation.
  static constexpr Duration kMaxConfirmationAge =
      std::chrono::milliseconds(100);
  /// Maximum time that a request is held.
  static constexpr Duration kMaxHold = std::chrono::milliseconds(500);

  /// The store has shown that the routes were current at `at`.
  void OnConfirmed(TimePoint at);
  bool AreRoutesCurrent(TimePoint now) const;
  std::optional<TimePoint> ConfirmedAt() const { return m_confirmed_at; }

  void Hold(UnroutedRequest request);
  /// Forgets a held request whose caller has left.
  void Remove(const HttpExchange& exchange);
  /// Removes and returns the requests for which the routes are confirmed.
  std::vector<UnroutedRequest> TakeConfirmed();
  /// Removes and returns the requests that were held for the maximum time.
  std::vector<UnroutedRequest> TakeExpired(TimePoint now);
  /// Removes and returns all requests.
  std::vector<UnroutedRequest> TakeAll();
  /// When the next request has been held for the maximum time; empty if none is
  /// held.
  std::optional<TimePoint> NextExpiry() const;

 private:
  std::optional<TimePoint> m_confirmed_at;
  /// In the order of their arrival.
  std::vector<UnroutedRequest> m_held;
};

}  // namespace bramleyspoke
