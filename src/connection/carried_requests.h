#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace bramleyspoke {

/// The requests that a connection has carried, for as long as they may be
/// repeated.
class CarriedRequests {
 public:
  /// Number of requests from which on a connection carries no more.
  static constexpr std::size_t kMaxRequests = 4096;
  /// Time after a request's deadline for which it is remembered. Daemons that
  /// hand a request over to each other have different deadlines for it.
  static constexpr Duration kDeadlineMargin = std::chrono::seconds(1);

  void Add(std::string_view request_id, TimePoint deadline, TimePoint now);
  /// Whether no answer to an earlier request can be taken for one to a request
  /// with this id. Without an id, any could be.
  bool MayCarry(std::string_view request_id) const;

 private:
  void Forget(TimePoint now);

  bool m_is_used = false;
  /// Hashes of the ids, and until when each is remembered.
  std::vector<std::uint64_t> m_ids;
  std::vector<TimePoint> m_until;
  /// Number of requests at which those that have expired are forgotten.
  std::size_t m_forget_at = 64;
};

}  // namespace bramleyspoke
