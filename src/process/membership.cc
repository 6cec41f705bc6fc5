#include "process/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyspoke {
namespace {

// Gossip reaches all but a negligible share of n members when each member
// sends an update a small multiple of log(n) times.
constexpr double kRetransmitFactor = 2;
constexpr Duration kFullListInterval = std::chrono::seconds(5);
constexpr Duration kFullListWindow = std::chrono::seconds(60);
constexpr std::size_t kPeersAfterPause = 3;
constexpr std::size_t kPeersWhenLeaving = 8;
constexpr std::size_t kContactsWhenAlone = 3;
// Limit on a reply to a differing digest; a larger bucket takes several
// replies.
constexpr std::size_t kMaxBucketUpdates = 256;

}  // namespace

Membership::Membership(MembershipOptions options,
                       const DaemonAddress& self,
                       std::uint64_t seed)
    : m_options(options),
      m_self{self, MemberState::kAlive, self.incarnation},
      m_random(seed) {
  m_table.Set(m_self);
  m_changes[self.peer] = m_self;
}

void Membership::SetContacts(std::vector<Endpoint> contacts) {
  std::erase(contacts, m_self.address.peer);
  m_contacts = std::move(contacts);
}

MembershipActions Membership::OnTick(TimePoint now) {
  MembershipActions actions;
  ExpireSuspects(now);
  RemoveExpiredDead(now);
  if (!m_next_probe || now >= *m_next_probe) {
    ProbeNext(now, actions);
  }
  if (!m_next_contact || now >= *m_next_contact) {
    const bool is_alone = m_table.LiveCount() <= 1;
    m_next_contact = now + (is_alone ? m_options.probe_interval
                                     : m_options.contact_interval);
    ContactUnreachedPeers(actions);
  }
  return actions;
}

void Membership::ProbeNext(TimePoint now, MembershipActions& actions) {
  m_next_probe = now + (m_is_out_of_sync ? m_options.sync_interval
                                         : m_options.probe_interval);
  if (const auto target =
          m_probe_order.Next(m_table, m_self.address.peer, m_random)) {
    actions.gossips.push_back(MakeGossip(*target));
    GossipMessage& message = actions.gossips.back().message;
    message.want_all = message.want_all || BeginFullListIfDue(now);
  }
  m_is_out_of_sync = false;
}

// When a whole fleet starts at once, the first full list is far from complete.
// It is requested again a few times while digests show differences.
bool Membership::BeginFullListIfDue(TimePoint now) {
  if (!m_first_probe) {
    m_first_probe = now;
    m_next_full_list = now + kFullListInterval;
  }
  const bool is_starting = now - *m_first_probe <= kFullListWindow;
  if (!m_is_out_of_sync || !is_starting || now < m_next_full_list) {
    return false;
  }
  m_next_full_list = now + kFullListInterval;
  return true;
}

// Sends gossip to a random contact that is unknown or dead, or to another dead
// member (to up to three of them if this daemon is alone), so that the fleet
// merges again after a long network partition.
void Membership::ContactUnreachedPeers(MembershipActions& actions) {
  std::vector<Endpoint> unreached;
  for (const Endpoint& contact : m_contacts) {
    const MemberUpdate* known = m_table.Find(contact);
    if (known == nullptr || known->state == MemberState::kDead) {
      unreached.push_back(contact);
    }
  }
  for (const auto& [peer, since] : m_dead_since) {
    unreached.push_back(peer);
  }
  const std::size_t count = m_table.LiveCount() <= 1 ? kContactsWhenAlone : 1;
  for (std::size_t i = 0; i < count && !unreached.empty(); ++i) {
    const std::size_t index = RandomBelow(unreached.size());
    actions.gossips.push_back(MakeGossip(unreached[index]));
    unreached.erase(unreached.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

GossipAction Membership::MakeGossip(const Endpoint& peer) {
  const std::uint64_t exchange = m_next_exchange++;
  const MemberUpdate* known = m_table.Find(peer);
  Probe probe;
  probe.target = peer;
  probe.version = known == nullptr ? 0 : known->version;
  m_probes.emplace(exchange, probe);
  GossipMessage message = NewMessage();
  AddPendingUpdates(message);
  AddViewOf(peer, message);
  message.want_all = m_table.Size() <= 1;
  const std::uint32_t buckets = m_table.BucketCount();
  message.bucket =
      m_table.Digest(buckets, static_cast<std::uint32_t>(RandomBelow(buckets)));
  return {exchange, peer, std::move(message), m_options.probe_timeout};
}

MembershipActions Membership::OnReply(std::uint64_t exchange,
                                      const std::optional<GossipMessage>& reply,
                                      TimePoint now) {
  MembershipActions actions;
  const auto probe = m_probes.find(exchange);
  if (reply) {
    const BucketDigest& theirs = reply->bucket;
    m_is_out_of_sync = m_is_out_of_sync ||
                       !(m_table.Digest(theirs.count, theirs.bucket) == theirs);
    ApplyMessage(*reply, now);
    if (probe != m_probes.end()) {
      m_probes.erase(probe);
    }
    return actions;
  }
  if (probe != m_probes.end()) {
    StartIndirectProbe(exchange, actions);
    if (probe->second.pending_pings == 0) {
      Suspect(probe->second, now);
      m_probes.erase(probe);
    }
  }
  return actions;
}

void Membership::StartIndirectProbe(std::uint64_t exchange,
                                    MembershipActions& actions) {
  Probe& probe = m_probes.at(exchange);
  const MemberUpdate* known = m_table.Find(probe.target);
  if (known == nullptr || known->state != MemberState::kAlive) {
    return;
  }
  probe.stage = ProbeStage::kIndirect;
  for (const Endpoint& peer : m_probe_order.RandomLive(
           m_options.indirect_probes, probe.target, m_table, m_random)) {
    actions.pings.push_back(
        {exchange, peer, probe.target, 2 * m_options.probe_timeout});
    ++probe.pending_pings;
  }
}

MembershipActions Membership::OnPingViaReply(std::uint64_t exchange,
                                             bool is_alive,
                                             TimePoint now) {
  const auto probe = m_probes.find(exchange);
  if (probe == m_probes.end()) {
    return {};
  }
  if (is_alive) {
    m_probes.erase(probe);
  } else if (--probe->second.pending_pings == 0) {
    Suspect(probe->second, now);
    m_probes.erase(probe);
  }
  return {};
}

void Membership::Suspect(const Probe& probe, TimePoint now) {
  const MemberUpdate* known = m_table.Find(probe.target);
  if (known == nullptr || known->version != probe.version) {
    return;
  }
  MemberUpdate update = *known;
  // A leaving member that does not respond is declared dead without a suspicion
  // timeout.
  update.state = known->state == MemberState::kLeaving ? MemberState::kDead
                                                       : MemberState::kSuspect;
  Apply(update, now);
}

void Membership::ExpireSuspects(TimePoint now) {
  std::vector<MemberUpdate> expired;
  for (const auto& [peer, since] : m_suspect_since) {
    if (now - since >= SuspicionTimeout()) {
      expired.push_back(*m_table.Find(peer));
    }
  }
  for (MemberUpdate& update : expired) {
    update.state = MemberState::kDead;
    Apply(update, now);
  }
}

void Membership::RemoveExpiredDead(TimePoint now) {
  for (auto entry = m_dead_since.begin(); entry != m_dead_since.end();) {
    if (now - entry->second < m_options.dead_retention) {
      ++entry;
      continue;
    }
    m_table.Erase(entry->first);
    m_pending_updates.Remove(entry->first);
    entry = m_dead_since.erase(entry);
  }
}

GossipMessage Membership::OnGossip(const GossipMessage& message,
                                   TimePoint now) {
  ApplyMessage(message, now);
  GossipMessage reply = NewMessage();
  AddPendingUpdates(reply);
  AddViewOf(message.sender.address.peer, reply);
  const BucketDigest& theirs = message.bucket;
  reply.bucket = m_table.Digest(theirs.count, theirs.bucket);
  if (message.want_all) {
    reply.members = m_table.All();
  } else if (!(reply.bucket == theirs)) {
    m_is_out_of_sync = true;
    std::vector<MemberUpdate> bucket = m_table.Bucket(theirs);
    std::shuffle(bucket.begin(), bucket.end(), m_random);
    bucket.resize(std::min(bucket.size(), kMaxBucketUpdates));
    reply.members.insert(reply.members.end(), bucket.begin(), bucket.end());
  }
  return reply;
}

void Membership::ApplyMessage(const GossipMessage& message, TimePoint now) {
  Apply(message.sender, now);
  // Updates of a message with more members than gossip piggybacks (a full list
  // or a large bucket) are not spread further: other members find what they
  // lack by digests.
  const bool is_piggybacked =
      message.members.size() <= m_options.max_updates + 1;
  for (const MemberUpdate& update : message.members) {
    const bool is_applied = Apply(update, now);
    if (is_applied && !is_piggybacked) {
      m_pending_updates.Remove(update.address.peer);
    }
  }
}

bool Membership::Apply(const MemberUpdate& update, TimePoint now) {
  const Endpoint& peer = update.address.peer;
  if (peer == m_self.address.peer) {
    ApplyToSelf(update);
    return false;
  }
  const MemberUpdate* known = m_table.Find(peer);
  // A dead member that was removed from the table must not be added again.
  if (known == nullptr && update.state == MemberState::kDead) {
    return false;
  }
  const bool is_newer =
      known == nullptr || update.version > known->version ||
      (update.version == known->version && update.state > known->state);
  if (!is_newer) {
    return false;
  }
  const bool was_live = known != nullptr && IsLive(known->state);
  const bool is_moved = known == nullptr || !(known->address == update.address);
  if (was_live != IsLive(update.state) || is_moved) {
    m_changes[peer] = update;
  }
  if (known == nullptr || known->state == MemberState::kDead) {
    m_probe_order.Add(peer, m_random);
  }
  m_suspect_since.erase(peer);
  m_dead_since.erase(peer);
  if (update.state == MemberState::kSuspect) {
    m_suspect_since[peer] = now;
  }
  if (update.state == MemberState::kDead) {
    m_dead_since[peer] = now;
  }
  m_table.Set(update);
  m_pending_updates.Add(peer);
  return true;
}

// This daemon overrides what others report about it by raising its version.
void Membership::ApplyToSelf(const MemberUpdate& update) {
  const bool is_older = update.version < m_self.version;
  if (is_older || update == m_self) {
    return;
  }
  m_self.version = update.version + 1;
  m_table.Set(m_self);
  m_pending_updates.Add(m_self.address.peer);
}

MembershipActions Membership::OnPause(TimePoint now) {
  m_probes.clear();
  for (auto& [peer, since] : m_suspect_since) {
    since = now;
  }
  ++m_self.version;
  m_table.Set(m_self);
  m_pending_updates.Add(m_self.address.peer);
  return GossipToRandom(kPeersAfterPause, now);
}

MembershipActions Membership::BeginLeaving(TimePoint now) {
  m_self.state = MemberState::kLeaving;
  ++m_self.version;
  m_table.Set(m_self);
  m_pending_updates.Add(m_self.address.peer);
  m_changes[m_self.address.peer] = m_self;
  return GossipToRandom(kPeersWhenLeaving, now);
}

MembershipActions Membership::GossipToRandom(std::size_t count,
                                             TimePoint /*now*/) {
  MembershipActions actions;
  for (const Endpoint& peer : m_probe_order.RandomLive(
           count, m_self.address.peer, m_table, m_random)) {
    actions.gossips.push_back(MakeGossip(peer));
  }
  return actions;
}

std::vector<MemberUpdate> Membership::TakeChanges() {
  std::vector<MemberUpdate> changes;
  for (auto& [peer, update] : m_changes) {
    changes.push_back(std::move(update));
  }
  m_changes.clear();
  return changes;
}

std::vector<DaemonAddress> Membership::LiveDaemons() const {
  std::vector<DaemonAddress> live;
  for (MemberUpdate& member : m_table.All()) {
    if (IsLive(member.state)) {
      live.push_back(std::move(member.address));
    }
  }
  return live;
}

std::vector<DaemonAddress> Membership::LeavingDaemons() const {
  std::vector<DaemonAddress> leaving;
  for (MemberUpdate& member : m_table.All()) {
    if (member.state == MemberState::kLeaving) {
      leaving.push_back(std::move(member.address));
    }
  }
  return leaving;
}

void Membership::AddPendingUpdates(GossipMessage& message) {
  for (const Endpoint& peer :
       m_pending_updates.Take(m_options.max_updates, RetransmitLimit())) {
    if (peer != m_self.address.peer) {
      message.members.push_back(*m_table.Find(peer));
    }
  }
}

// The receiver learns that it is not considered alive and can refute at once.
void Membership::AddViewOf(const Endpoint& peer, GossipMessage& message) const {
  const MemberUpdate* known = m_table.Find(peer);
  if (known != nullptr && known->state != MemberState::kAlive) {
    message.members.push_back(*known);
  }
}

GossipMessage Membership::NewMessage() {
  GossipMessage message;
  message.sender = m_self;
  return message;
}

std::size_t Membership::RetransmitLimit() const {
  const auto members = static_cast<double>(m_table.Size());
  return static_cast<std::size_t>(
      std::ceil(kRetransmitFactor * std::log2(members + 1)));
}

Duration Membership::SuspicionTimeout() const {
  const auto members = static_cast<double>(m_table.Size());
  const double factor = std::max(1.0, std::log10(members));
  return std::chrono::duration_cast<Duration>(m_options.suspicion_timeout *
                                              factor);
}

std::size_t Membership::RandomBelow(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

}  // namespace bramleyspoke
