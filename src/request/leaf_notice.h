#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace bramleyspoke {

/// What a leaf says of itself in a response.
struct LeafAnnouncement {
  /// Requests per second that the leaf accepts from all daemons together; it
  /// holds until a response does not name it. Empty if not named.
  std::optional<double> request_rate;
  /// Time from the response on in which the leaf wants no requests from this
  /// daemon.
  std::optional<Duration> pause;
  /// The leaf will end soon and should get no new requests.
  bool is_leaving = false;
  /// Name and value of a field that could not be read, and counts as absent;
  /// empty if there was none.
  std::string unreadable;
};

/// How a leaf's announcement differs from its last one.
enum class LeafNoticeKind {
  /// The leaf names a limit of its request rate.
  kRateLimited,
  /// The leaf no longer names one.
  kRateLimitEnded,
  /// The leaf says that it is leaving.
  kLeaving,
  /// The leaf asks for a pause.
  kPaused,
  /// A field could not be read.
  kUnreadable,
};

std::string_view ToString(LeafNoticeKind kind);

/// A change of what a leaf announces; for log and metrics.
struct LeafNotice {
  LeafNoticeKind kind = LeafNoticeKind::kRateLimited;
  std::string leaf_id;
  std::string service;
  /// For `kRateLimited`, the announced requests per second.
  double request_rate = 0;
  /// For `kPaused`, its length.
  Duration pause{0};
  /// For `kUnreadable`, the field's name and value.
  std::string detail;
};

}  // namespace bramleyspoke
