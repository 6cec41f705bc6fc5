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
  /// One member is probed in each.
  Duration probe_interval = std::chrono::seconds(1);
  /// A direct probe is given up after this, an indirect one after twice it.
  Duration probe_timeout = std::chrono::milliseconds(500);
  /// Members asked to ping one that does not answer.
  std::size_t indirect_probes = 3;
  /// A suspect is dead after this; longer in large fleets.
  Duration suspicion_timeout = std::chrono::seconds(5);
  /// Dead members are remembered for this long.
  Duration forget_after = std::chrono::minutes(10);
  /// A contact that is no live member is tried this often.
  Duration contact_interval = std::chrono::seconds(10);
  /// Probe interval while the last replies showed differences.
  Duration sync_interval = std::chrono::milliseconds(250);
  /// Most updates in a message, but for answers to a differing digest.
  std::size_t max_updates = 16;
};

/// Sends `message` to `peer`; the outcome goes to `OnReply`.
struct GossipAction {
  std::uint64_t exchange = 0;
  Endpoint peer;
  GossipMessage message;
  Duration timeout = Duration::zero();
};

/// Asks `peer` to ping `target`; the outcome goes to `OnPingViaReply`.
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

/// Who is a member, in the manner of SWIM.
///
/// Each interval one member is probed, in random order; one that answers
/// neither directly nor through others is suspected, and dead unless it refutes
/// in time. News travels on the probes. Two daemons find what they missed by
/// digests of parts of their lists. Pure: reads no clock and no socket.
class Membership {
 public:
  Membership(MembershipOptions options,
             const DaemonAddress& self,
             std::uint64_t seed);

  /// Endpoints to try while they are no live members; replaces the last list.
  void SetContacts(std::vector<Endpoint> contacts);

  MembershipActions OnTick(TimePoint now);
  MembershipActions OnReply(std::uint64_t exchange,
                            const std::optional<GossipMessage>& reply,
                            TimePoint now);
  MembershipActions OnPingViaReply(std::uint64_t exchange,
                                   bool is_alive,
                                   TimePoint now);
  /// Takes another daemon's message; the returned one is the answer.
  GossipMessage OnGossip(const GossipMessage& message, TimePoint now);
  /// This process was paused: accuse nobody, refute, look around first.
  MembershipActions OnPause(TimePoint now);
  /// Says that this daemon goes.
  MembershipActions BeginLeaving(TimePoint now);
  /// Exchanges with `count` random live members, for news that is urgent.
  MembershipActions Push(std::size_t count, TimePoint now);
  /// An exchange with one peer; its outcome also goes to `OnReply`.
  GossipAction MakeGossip(const Endpoint& peer);

  /// Members whose state or address changed since the last call.
  std::vector<MemberUpdate> TakeChanges();
  /// Live daemons (suspects included, leaving ones not), this one included
  /// unless it leaves.
  std::vector<DaemonAddress> Live() const;
  /// Daemons in a planned stop, this one included.
  std::vector<DaemonAddress> Leaving() const;
  const MemberTable& Table() const { return m_table; }
  const MemberUpdate& Self() const { return m_self; }

 private:
  enum class ProbeStage { kDirect, kIndirect };
  struct Probe {
    Endpoint target;
    /// The target's version when the probe began.
    std::uint64_t version = 0;
    ProbeStage stage = ProbeStage::kDirect;
    std::size_t waiting = 0;
  };

  /// Whether it said something new.
  bool Apply(const MemberUpdate& update, TimePoint now);
  void ApplyToSelf(const MemberUpdate& update);
  void ApplyMessage(const GossipMessage& message, TimePoint now);
  void ExpireSuspects(TimePoint now);
  void ForgetDead(TimePoint now);
  void ProbeNext(TimePoint now, MembershipActions& actions);
  bool IsListDue(TimePoint now);
  void ContactLost(MembershipActions& actions);
  void AskOthers(std::uint64_t exchange, MembershipActions& actions);
  void Suspect(const Probe& probe, TimePoint now);
  void AddNews(GossipMessage& message);
  void AddViewOf(const Endpoint& peer, GossipMessage& message) const;
  GossipMessage NewMessage();
  std::size_t RetransmitLimit() const;
  Duration SuspicionTimeout() const;
  std::size_t RandomBelow(std::size_t bound);

  MembershipOptions m_options;
  MemberUpdate m_self;
  std::mt19937_64 m_random;
  MemberTable m_table;
  DisseminationQueue<Endpoint> m_news;
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
  TimePoint m_next_list;
  std::uint32_t m_next_bucket = 0;
  bool m_is_behind = false;
};

}  // namespace bramleyspoke
