#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/endpoint.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Members by a hash of their endpoint, so that a bucket of them is a range.
class MemberTable {
 public:
  /// Empty when `peer` is unknown.
  const MemberUpdate* Find(const Endpoint& peer) const;
  void Set(const MemberUpdate& update);
  void Erase(const Endpoint& peer);

  std::size_t Size() const { return m_members.size(); }
  /// Members that are neither leaving nor dead.
  std::size_t LiveCount() const { return m_live_count; }
  std::vector<MemberUpdate> All() const;

  /// A power of two that puts about a dozen members into a bucket.
  std::uint32_t BucketCount() const;
  /// Digest of the bucket's members, without the dead.
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

/// Whether a member in that state may be given work.
bool IsLive(MemberState state);
/// Name as in dumps.
std::string_view ToString(MemberState state);

}  // namespace bramleyspoke
