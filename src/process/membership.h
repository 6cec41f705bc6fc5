#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/peer.h"
#include "process/dissemination_queue.h"
#include "process/member_table.h"
#include "process/probe_order.h"

namespace bramleyspoke {

struct MembershipOptions {
  /// Interval between two probes.
  Duration probe_interval = std::chrono::seconds(1);
  /// Time limit of a direct probe; an indirect one has twice as long.
  Duration probe_timeout = std::chrono::milliseconds(500);
  /// Number of members asked to ping a member that did not answer.
  std::size_t indirect_probes = 3;
  /// Time after which a suspect is declared dead, in a fleet of up to ten
  /// members; it grows with the logarithm of the fleet size.
  Duration suspicion_timeout = std::chrono::seconds(5);
  /// Time for which dead members are remembered.
  Duration dead_retention = std::chrono::minutes(10);
  /// Interval between messages to contacts that are unknown or dead.
  Duration contact_interval = std::chrono::seconds(10);
  /// Probe interval while digests show differences from other members.
  Duration sync_interval = std::chrono::milliseconds(250);
  /// Maximum number of queued updates per message; a full list or a bucket in a
  /// reply may be larger.
  std::size_t max_updates = 16;
};

/// Request to send `message` to `peer`; the outcome goes to `OnReply`.
struct GossipAction {
  std::uint64_t exchange = 0;
  Endpoint peer;
  GossipMessage message;
  Duration timeout = Duration::zero();
};

/// Request that `peer` ping `target`; the outcome goes to `OnPingViaReply`.
struct PingViaAction {
  std::uint64_t exchange = 0;
  Endpoint peer;
  Endpoint target;
  Duration timeout = Duration::zero();
};

struct MembershipActions {
  std::vector<GossipAction> gossips;
  std::vector<PingViaAction> pings;
};

/// Membership list and failure detector, a variant of SWIM.
///
/// One member is probed per interval, in random order. A member that answers
/// neither a direct nor an indirect probe becomes suspect, and dead unless it
/// refutes in time. Updates are piggybacked on the probes. Two daemons find
/// updates that they missed by comparing digests of buckets of their member
/// tables. Reads no clock and does no I/O.
class Membership {
 public:
  Membership(MembershipOptions options,
             const DaemonAddress& self,
             std::uint64_t seed);

  /// Replaces the list of endpoints that are contacted while they are unknown
  /// or dead.
  void SetContacts(std::vector<Endpoint> contacts);

  MembershipActions OnTick(TimePoint now);
  MembershipActions OnReply(std::uint64_t exchange,
                            const std::optional<GossipMessage>& reply,
                            TimePoint now);
  MembershipActions OnPingViaReply(std::uint64_t exchange,
                                   bool is_alive,
                                   TimePoint now);
  /// Applies a message of another daemon and returns the reply.
  GossipMessage OnGossip(const GossipMessage& message, TimePoint now);
  /// Handles a pause of this process: drops outstanding probes, restarts the
  /// suspicion timeouts, refutes suspicions of this daemon, and gossips with a
  /// few members.
  MembershipActions OnPause(TimePoint now);
  /// Announces that this daemon is leaving.
  MembershipActions BeginLeaving(TimePoint now);
  /// Gossips with up to `count` random live members, to spread an urgent
  /// update.
  MembershipActions GossipToRandom(std::size_t count, TimePoint now);
  /// Makes a message to `peer` and starts a probe of it; the outcome goes to
  /// `OnReply`.
  GossipAction MakeGossip(const Endpoint& peer);

  /// Returns the members that became live, ceased to be live or changed their
  /// address since the last call.
  std::vector<MemberUpdate> TakeChanges();
  /// Alive and suspect daemons, including this one unless it is leaving.
  std::vector<DaemonAddress> LiveDaemons() const;
  /// Daemons that announced that they are leaving, including this one.
  std::vector<DaemonAddress> LeavingDaemons() const;
  const MemberTable& Table() const { return m_table; }
  const MemberUpdate& Self() const { return m_self; }

 private:
  enum class ProbeStage { kDirect, kIndirect };
  struct Probe {
    Endpoint target;
    /// The target's version when the probe started; 0 if unknown.
    std::uint64_t version = 0;
    ProbeStage stage = ProbeStage::kDirect;
    std::size_t pending_pings = 0;
  };

  /// Returns whether the update was newer than the known state.
  bool Apply(const MemberUpdate& update, TimePoint now);
  void ApplyToSelf(const MemberUpdate& update);
  void ApplyMessage(const GossipMessage& message, TimePoint now);
  void ExpireSuspects(TimePoint now);
  void RemoveExpiredDead(TimePoint now);
  void ProbeNext(TimePoint now, MembershipActions& actions);
  bool BeginFullListIfDue(TimePoint now);
  void ContactUnreachedPeers(MembershipActions& actions);
  void StartIndirectProbe(std::uint64_t exchange, MembershipActions& actions);
  void Suspect(const Probe& probe, TimePoint now);
  void AddPendingUpdates(GossipMessage& message);
  void AddViewOf(const Endpoint& peer, GossipMessage& message) const;
  GossipMessage NewMessage();
  std::size_t RetransmitLimit() const;
  Duration SuspicionTimeout() const;
  std::size_t RandomBelow(std::size_t bound);

  MembershipOptions m_options;
  MemberUpdate m_self;
  std::mt19937_64 m_random;
  MemberTable m_table;
  DisseminationQueue<Endpoint> m_pending_updates;
  std::map<Endpoint, TimePoint> m_suspect_since;
  std::map<Endpoint, TimePoint> m_dead_since;
  std::map<Endpoint, MemberUpdate> m_changes;
  std::vector<Endpoint> m_contacts;
  ProbeOrder m_probe_order;
  std::map<std::uint64_t, Probe> m_probes;
  std::uint64_t m_next_exchange = 1;
  std::optional<TimePoint> m_next_probe;
  std::optional<TimePoint> m_next_contact;
  std::optional<TimePoint> m_first_probe;
  TimePoint m_next_full_list;
  std::uint32_t m_next_bucket = 0;
  bool m_is_out_of_sync = false;
};

}  // namespace bramleyspoke
