#include "process/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <string>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr std::size_t kMembersPerBucket = 16;
constexpr std::uint32_t kMaxBuckets = 1U << 16U;
constexpr int kHashBits = 64;

constexpr EnumNames<MemberState, 4> kStateNames{{{
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kDead, "dead"},
}}};

std::uint64_t HashOf(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Suspicions are short-lived and spread by gossip alone, so the digest leaves
// them out.
std::uint64_t DigestOf(std::uint64_t hash, const MemberUpdate& update) {
  const std::uint64_t leaving = update.state == MemberState::kLeaving ? 1 : 0;
  const std::uint64_t words[] = {hash, update.version, leaving};
  return XXH3_64bits(words, sizeof(words));
}

bool IsValidBucketCount(std::uint32_t count) {
  return std::has_single_bit(count) && count <= kMaxBuckets;
}

}  // namespace

MemberTable::Key MemberTable::KeyOf(const Endpoint& peer) {
  return {HashOf(peer.host, peer.port), peer};
}

const MemberUpdate* MemberTable::Find(const Endpoint& peer) const {
  const auto found = m_members.find(KeyOf(peer));
  return found == m_members.end() ? nullptr : &found->second;
}

void MemberTable::Set(const MemberUpdate& update) {
  Erase(update.address.peer);
  m_members.emplace(KeyOf(update.address.peer), update);
  m_live_count += IsLive(update.state) ? 1 : 0;
}

void MemberTable::Erase(const Endpoint& peer) {
  const auto found = m_members.find(KeyOf(peer));
  if (found != m_members.end()) {
    m_live_count -= IsLive(found->second.state) ? 1 : 0;
    m_members.erase(found);
  }
}

std::vector<MemberUpdate> MemberTable::All() const {
  std::vector<MemberUpdate> all;
  all.reserve(m_members.size());
  for (const auto& [key, update] : m_members) {
    all.push_back(update);
  }
  return all;
}

std::uint32_t MemberTable::BucketCount() const {
  const auto wanted =
      static_cast<std::uint32_t>(m_members.size() / kMembersPerBucket + 1);
  return std::min(std::bit_ceil(wanted), kMaxBuckets);
}

MemberTable::Range MemberTable::RangeOf(std::uint32_t count,
                                        std::uint32_t bucket) const {
  const int shift = kHashBits - std::countr_zero(count);
  if (shift == kHashBits) {
    return {m_members.begin(), m_members.end()};
  }
  const std::uint64_t first = static_cast<std::uint64_t>(bucket) << shift;
  const std::uint64_t next = static_cast<std::uint64_t>(bucket + 1) << shift;
  const bool is_last = bucket + 1 == count;
  return {m_members.lower_bound(Key{first, {}}),
          is_last ? m_members.end() : m_members.lower_bound(Key{next, {}})};
}

BucketDigest MemberTable::Digest(std::uint32_t count,
                                 std::uint32_t bucket) const {
  BucketDigest digest{count, bucket, 0};
  if (!IsValidBucketCount(count) || bucket >= count) {
    return {};
  }
  const Range range = RangeOf(count, bucket);
  for (auto member = range.first; member != range.last; ++member) {
    if (member->second.state != MemberState::kDead) {
      digest.digest += DigestOf(member->first.hash, member->second);
    }
  }
  return digest;
}

std::vector<MemberUpdate> MemberTable::Bucket(
    const BucketDigest& bucket) const {
  std::vector<MemberUpdate> members;
  if (!IsValidBucketCount(bucket.count) || bucket.bucket >= bucket.count) {
    return members;
  }
  const Range range = RangeOf(bucket.count, bucket.bucket);
  for (auto member = range.first; member != range.last; ++member) {
    members.push_back(member->second);
  }
  return members;
}

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

std::string_view ToString(MemberState state) {
  return kStateNames.NameOf(state);
}

}  // namespace bramleyspoke
