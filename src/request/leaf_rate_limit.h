#pragma once

#include <optional>

#include "base/time.h"

namespace bramleyspoke {

/// This daemon's part of the request rate that a leaf accepts from all daemons
/// together.
///
/// A token bucket. The daemons that share the leaf do not exchange how many
/// requests they send, so each keeps to a fixed fraction of the rate. Each may
/// have saved up one request, so that N daemons exceed the rate by up to N
/// requests after they were idle.
class LeafRateLimit {
 public:
  /// Time for which unused requests are saved up.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(250);
  /// Lowest rate, in requests per second, that all daemons together send at: a
  /// leaf says only in its responses that its limit has changed.
  static constexpr double kMinRate = 0.5;

  /// Sets this daemon's fraction of the rate.
  void SetFraction(double fraction) { m_fraction = fraction; }
  /// Records the requests per second that the leaf named in its response to an
  /// attempt sent at `sent`, or that it named none. Returns whether the limit
  /// has changed.
  bool OnAnnounced(std::optional<double> rate, TimePoint sent, TimePoint now);
  /// The rate that the leaf named, if any.
  std::optional<double> Rate() const { return m_rate; }
  TimePoint NamedAt() const { return m_named_at; }

  void OnSent(TimePoint now);
  /// The earliest time from `now` on at which a request may be sent.
  TimePoint NextAt(TimePoint now) const;
  bool IsUsedUp(TimePoint now) const { return NextAt(now) > now; }

 private:
  /// This daemon's requests per second.
  double OwnRate() const;
  double Capacity() const;
  double TokensAt(TimePoint now) const;

  std::optional<double> m_rate;
  /// When the leaf last named a rate.
  TimePoint m_named_at;
  double m_fraction = 1;
  /// Requests that may be sent, as of `m_updated_at`.
  double m_tokens = 0;
  TimePoint m_updated_at;
};

}  // namespace bramleyspoke
