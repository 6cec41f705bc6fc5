#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace bramleyspoke {

/// What a leaf that registers itself says of itself.
struct LeafRegistration {
  /// Name of the leaf; a request that names another one is not run by it.
  std::string id;
  /// Start of its process; tells two runs under the same id apart. 0: unsaid.
  std::int64_t started_at_ms = 0;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// How much longer it is slow after its start.
  Duration cold_remaining{0};

  bool operator==(const LeafRegistration&) const = default;
};

/// The registered leafs as the store last told them.
///
/// While the store is away, registrations lapse though their leafs live. An
/// entry that vanishes then, or shortly after, is therefore kept until the
/// leaf has had time to write it again.
class LeafRegistry {
 public:
  /// Time that a leaf needs to register again once the store is back.
  static constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

  /// Each returns whether the leafs changed.
  bool Put(LeafRegistration leaf, TimePoint now);
  bool Remove(const std::string& id, TimePoint now);
  /// Drops whatever is not in `present`.
  bool RetainOnly(const std::vector<std::string>& present, TimePoint now);
  /// Drops kept entries whose time has come.
  bool Settle(TimePoint now);

  void OnStoreLost();
  void OnStoreBack(TimePoint now);

  /// When `Settle` is due next.
  std::optional<TimePoint> NextSettle() const;
  std::vector<LeafRegistration> Leafs() const;
  std::size_t size() const { return m_leafs.size(); }

 private:
  struct Entry {
    LeafRegistration leaf;
    /// Set if the store no longer has it.
    std::optional<TimePoint> kept_until;
  };

  bool IsUnsettled(TimePoint now) const;

  std::map<std::string, Entry> m_leafs;
  bool m_is_store_lost = false;
  std::optional<TimePoint> m_store_back_at;
};

}  // namespace bramleyspoke
