#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/endpoint.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Members ordered by a hash of their endpoint, so that a bucket is a range.
class MemberTable {
 public:
  /// Returns null if `peer` is unknown.
  const MemberUpdate* Find(const Endpoint& peer) const;
  void Set(const MemberUpdate& update);
  void Erase(const Endpoint& peer);

  std::size_t Size() const { return m_members.size(); }
  /// Number of members that are neither leaving nor dead.
  std::size_t LiveCount() const { return m_live_count; }
  std::vector<MemberUpdate> All() const;

  /// Number of buckets: a power of two that gives 8 to 16 members per bucket on
  /// average, fewer below 8 members and more above 2^20.
  std::uint32_t BucketCount() const;
  /// Digest of the bucket's members except dead ones; a default-constructed
  /// value if `count` or `bucket` is invalid.
  BucketDigest Digest(std::uint32_t count, std::uint32_t bucket) const;
  std::vector<MemberUpdate> Bucket(const BucketDigest& bucket) const;

 private:
  struct Key {
    std::uint64_t hash = 0;
    Endpoint peer;

    bool operator<(const Key& other) const {
      return hash != other.hash ? hash < other.hash : peer < other.peer;
    }
  };
  using Members = std::map<Key, MemberUpdate>;
  struct Range {
    Members::const_iterator first;
    Members::const_iterator last;
  };

  static Key KeyOf(const Endpoint& peer);
  Range RangeOf(std::uint32_t count, std::uint32_t bucket) const;

  Members m_members;
  std::size_t m_live_count = 0;
};

/// Whether requests may be routed to a member in that state.
bool IsLive(MemberState state);
/// The state's name in dumps.
std::string_view ToString(MemberState state);

}  // namespace bramleyspoke
