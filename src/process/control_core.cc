#include "process/control_core.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "process/watcher_choice.h"
#include "version/manifest_leafs.h"

namespace bramleyspoke {
namespace {

// Number of daemons that each daemon notifies when it puts a new manifest in
// force: about log4(n) rounds reach nearly all of n daemons, and the probes
// reach the rest.
constexpr std::size_t kManifestGossipFanOut = 4;
constexpr Duration kFetchTimeout = std::chrono::seconds(3);
constexpr Duration kNoticeTimeout = std::chrono::seconds(1);
// A daemon that starts discovers the other members first; otherwise every
// daemon would watch the store.
constexpr Duration kWatchDelay = std::chrono::seconds(1);
// The fetch interval of the VM list grows by `vm_list_interval` per this many
// records in it.
constexpr std::size_t kVmRecordsPerInterval = 1000;

MembershipOptions MembershipOptionsOf(const ControlOptions& options) {
  MembershipOptions membership;
  membership.probe_interval = options.probe_interval;
  membership.suspicion_timeout = options.suspicion_timeout;
  return membership;
}

FollowerOptions FollowerOptionsOf(const ControlOptions& options) {
  FollowerOptions follower;
  follower.confirmation_limit = options.confirmation_limit;
  return follower;
}

std::set<Endpoint> LeafsOf(const AssembledManifest& manifest) {
  std::set<Endpoint> leafs;
  for (const auto& [name, spec] : manifest.services) {
    ForEachReplica(*spec,
                   [&](const Replica& replica) { leafs.insert(replica.leaf); });
  }
  return leafs;
}

}  // namespace

// Callbacks run on other threads, possibly after the core was destroyed. They
// hold a copy of `post`, which drops calls once the actor has terminated, and
// access the core only in the calls they post.
ControlCore::ControlCore(ControlOptions options, ControlContext context)
    : m_options(std::move(options)),
      m_context(std::move(context)),
      m_membership(MembershipOptionsOf(m_options),
                   m_options.self,
                   m_options.seed),
      m_follower(FollowerOptionsOf(m_options),
                 m_options.seed + 1,
                 m_context.now()),
      m_builder(m_options.self),
      m_started_at(m_context.now()) {
  m_membership.SetContacts(m_options.seeds);
}

void ControlCore::OnTick() {
  CheckPause();
  const TimePoint now = m_context.now();
  m_last_tick = now;
  Run(m_membership.OnTick(now));
  ApplyMemberChanges();
  Run(m_follower.OnTick(now));
  SendNotices();
  if (!m_next_vm_fetch || now >= *m_next_vm_fetch) {
    m_next_vm_fetch = now + m_options.vm_list_interval;
    FetchVmList();
  }
  if (m_is_table_outdated || !m_table ||
      m_table->is_confirmed != m_follower.IsConfirmed(now)) {
    PublishTable();
  }
  m_context.listener.OnManifestAge(m_follower.Status(now).confirmed_ago);
  if (!m_follower.IsRefreshing()) {
    m_context.listener.OnHeartbeat(now);
  }
}

// Called first on ticks, peer messages and store replies: those that were
// queued while the process was paused must not be treated as current.
void ControlCore::CheckPause() {
  const TimePoint now = m_context.now();
  if (!m_last_tick || now - *m_last_tick <= m_options.pause_gap) {
    return;
  }
  m_last_tick = now;
  Run(m_follower.OnPause(now));
  Run(m_membership.OnPause(now));
}

void ControlCore::BeginLeaving() {
  Run(m_membership.BeginLeaving(m_context.now()));
  ApplyMemberChanges();
  PublishTable();
}

void ControlCore::PublishEvidence(EvidenceNotice evidence) {
  evidence.id = NextEvidenceId();
  if (m_notices.Add(evidence, {evidence.service}, m_context.now())) {
    SendNotices();
  }
}

// Several daemons may each see a crash of the same request.
std::uint64_t ControlCore::NextEvidenceId() {
  const std::string name = ToString(m_options.self.peer) + "~" +
                           std::to_string(m_options.self.incarnation) + "~" +
                           std::to_string(++m_last_evidence);
  return XXH3_64bits(name.data(), name.size());
}

void ControlCore::PublishDrain(const DrainNotice& drain) {
  if (m_notices.Add(drain, HeldServicesOf(drain.leaf), m_context.now())) {
    SendNotices();
  }
}

GossipMessage ControlCore::OnGossip(const GossipMessage& message) {
  CheckPause();
  GossipMessage reply = m_membership.OnGossip(message, m_context.now());
  ApplyMemberChanges();
  HandleStatus(message, std::nullopt);
  HandleNotices(message);
  AddStatus(reply);
  return reply;
}

void ControlCore::OnPingVia(const Endpoint& target,
                            std::function<void(bool)> reply) {
  GossipAction action = m_membership.MakeGossip(target);
  AddStatus(action.message);
  const TimePoint requested_at = m_context.now();
  m_context.peers.Gossip(
      target, action.message, action.timeout,
      [this, post = m_context.post, action, requested_at,
       reply = std::move(reply)](const std::optional<GossipMessage>& answer) {
        reply(answer.has_value());
        post([this, action, requested_at, answer] {
          OnReply(action, requested_at, answer);
        });
      });
}

std::vector<std::string> ControlCore::OnFetchParts(
    const std::vector<std::string>& hashes) const {
  return m_follower.Parts(hashes);
}

void ControlCore::Run(const MembershipActions& actions) {
  for (const GossipAction& action : actions.gossips) {
    Send(action);
  }
  for (const PingViaAction& action : actions.pings) {
    const std::uint64_t exchange = action.exchange;
    m_context.peers.PingVia(
        action.peer, action.target, action.timeout,
        [this, post = m_context.post, exchange](bool is_alive) {
          post([this, exchange, is_alive] {
            CheckPause();
            Run(m_membership.OnPingViaReply(exchange, is_alive,
                                            m_context.now()));
          });
        });
  }
}

void ControlCore::Send(const GossipAction& action) {
  GossipMessage message = action.message;
  AddStatus(message);
  const TimePoint requested_at = m_context.now();
  m_context.peers.Gossip(action.peer, message, action.timeout,
                         [this, post = m_context.post, action, requested_at](
                             const std::optional<GossipMessage>& reply) {
                           post([this, action, requested_at, reply] {
                             OnReply(action, requested_at, reply);
                           });
                         });
}

void ControlCore::OnReply(const GossipAction& action,
                          TimePoint requested_at,
                          const std::optional<GossipMessage>& reply) {
  CheckPause();
  Run(m_membership.OnReply(action.exchange, reply, m_context.now()));
  ApplyMemberChanges();
  if (reply) {
    HandleStatus(*reply, requested_at);
    HandleNotices(*reply);
  }
}

void ControlCore::AddStatus(GossipMessage& message) const {
  const ManifestStatus status = m_follower.Status(m_context.now());
  message.generation = status.generation;
  message.root = status.root;
  message.confirmed_ago = status.confirmed_ago;
}

void ControlCore::HandleStatus(const GossipMessage& message,
                               std::optional<TimePoint> requested_at) {
  const ManifestStatus status{message.generation, message.root,
                              message.confirmed_ago};
  Run(m_follower.OnPeerStatus(message.sender.address.peer, status, requested_at,
                              m_context.now()));
}

void ControlCore::Run(FollowerActions actions) {
  if (actions.stop_watch) {
    m_watch.reset();
  }
  if (actions.watch) {
    WatchHead(actions.watch->revision);
  }
  if (actions.read_head) {
    ReadHead();
  }
  for (const FetchAction& action : actions.fetches) {
    Fetch(action);
  }
  for (const ReadPartAction& action : actions.reads) {
    ReadPart(action);
  }
  if (actions.is_changed) {
    m_holders.SetServices(m_follower.Manifest()->services);
    PublishTable();
    Run(m_membership.GossipToRandom(kManifestGossipFanOut, m_context.now()));
  }
}

void ControlCore::Fetch(const FetchAction& action) {
  const std::uint64_t fetch = action.fetch;
  m_context.peers.FetchParts(
      action.peer, action.hashes, kFetchTimeout,
      [this, post = m_context.post,
       fetch](const std::optional<std::vector<std::string>>& parts) {
        post([this, fetch, parts] {
          CheckPause();
          Run(m_follower.OnPeerParts(fetch, parts, m_context.now()));
        });
      });
}

void ControlCore::ReadPart(const ReadPartAction& action) {
  m_context.store.Get(PartKey(action.hash), [this, post = m_context.post,
                                             action](const StoreRead& read) {
    post([this, action, read] {
      CheckPause();
      Run(m_follower.OnStorePart(action.fetch, action.hash, read,
                                 m_context.now()));
    });
  });
}

void ControlCore::ReadHead() {
  const TimePoint requested_at = m_context.now();
  m_context.store.Get(
      std::string(kHeadKey),
      [this, post = m_context.post, requested_at](const StoreRead& read) {
        post([this, requested_at, read] {
          CheckPause();
          Run(m_follower.OnStoreHead(read, requested_at, m_context.now()));
        });
      });
}

void ControlCore::WatchHead(std::int64_t revision) {
  const std::uint64_t number = ++m_watch_number;
  const auto on_change = [this, post = m_context.post,
                          number](const StoreValue& value) {
    post([this, number, value] {
      CheckPause();
      if (number == m_watch_number) {
        Run(m_follower.OnWatchChange(value, m_context.now()));
      }
    });
  };
  const auto on_end = [this, post = m_context.post, number] {
    post([this, number] {
      CheckPause();
      if (number == m_watch_number) {
        Run(m_follower.OnWatchEnd(m_context.now()));
      }
    });
  };
  m_watch =
      m_context.store.Watch(std::string(kHeadKey), revision, on_change, on_end);
}

void ControlCore::HandleNotices(const GossipMessage& message) {
  const TimePoint now = m_context.now();
  for (const EvidenceNotice& evidence : message.evidence) {
    if (m_notices.Add(evidence, {evidence.service}, now)) {
      m_context.listener.OnEvidence(evidence);
    }
  }
  for (const DrainNotice& drain : message.drains) {
    if (m_notices.Add(drain, HeldServicesOf(drain.leaf), now)) {
      m_context.listener.OnDrain(drain);
    }
  }
}

void ControlCore::SendNotices() {
  for (const NoticeDelivery& delivery : m_notices.TakeDue(m_context.now())) {
    GossipMessage message;
    message.sender = m_membership.Self();
    message.evidence = delivery.evidence;
    message.drains = delivery.drains;
    AddStatus(message);
    const std::uint64_t number = delivery.number;
    m_context.peers.Gossip(
        delivery.peer, message, kNoticeTimeout,
        [this, post = m_context.post,
         number](const std::optional<GossipMessage>& reply) {
          post([this, number, is_received = reply.has_value()] {
            m_notices.OnReply(number, is_received);
          });
        });
  }
}

std::set<std::string> ControlCore::HeldServicesOf(const Endpoint& leaf) const {
  std::set<std::string> services;
  if (!m_table) {
    return services;
  }
  for (const auto& [name, route] : m_table->services) {
    if (route->is_held_here && HasLeaf(route->spec, leaf)) {
      services.insert(name);
    }
  }
  return services;
}

void ControlCore::ApplyMemberChanges() {
  const std::vector<MemberUpdate> changes = m_membership.TakeChanges();
  for (const MemberUpdate& update : changes) {
    if (IsLive(update.state)) {
      m_holders.AddMember(update.address);
    } else {
      m_holders.RemoveMember(update.address.peer);
    }
  }
  const TimePoint now = m_context.now();
  m_is_follower_fleet_outdated =
      m_is_follower_fleet_outdated || !changes.empty();
  m_is_table_outdated = m_is_table_outdated || !changes.empty();
  if (m_is_follower_fleet_outdated && now - m_started_at >= kWatchDelay) {
    m_is_follower_fleet_outdated = false;
    const std::vector<DaemonAddress> live = m_membership.LiveDaemons();
    Run(m_follower.OnFleetChange(IsWatcher(m_options.self, live), live.size(),
                                 now));
  }
}

void ControlCore::ApplyHolderChanges() {
  for (const std::string& service : m_holders.TakeChanged()) {
    std::set<Endpoint> others;
    bool is_held_here = false;
    for (const DaemonAddress& holder : m_holders.HoldersOf(service)) {
      is_held_here = is_held_here || holder.peer == m_options.self.peer;
      others.insert(holder.peer);
    }
    others.erase(m_options.self.peer);
    m_notices.SetHolders(
        service, is_held_here ? std::move(others) : std::set<Endpoint>());
  }
}

void ControlCore::PublishTable() {
  const TimePoint now = m_context.now();
  ApplyHolderChanges();
  RoutingInput input;
  input.generation = m_follower.Status(now).generation;
  input.is_confirmed = m_follower.IsConfirmed(now);
  input.manifest = m_follower.Manifest();
  input.leaving_vm_addresses = m_leaving_vms;
  input.members = m_membership.LiveDaemons();
  input.stopping = m_membership.LeavingDaemons();
  input.is_self_leaving = m_membership.Self().state == MemberState::kLeaving;
  m_table = m_builder.Build(std::move(input), m_holders);
  m_is_table_outdated = false;
  m_context.listener.OnRoutingTable(m_table);
}

void ControlCore::FetchVmList() {
  m_context.vm_list.Fetch(
      [this, post = m_context.post](
          const std::optional<std::vector<VmRecord>>& records) {
        post([this, records] {
          if (records) {
            OnVmList(*records);
          }
        });
      });
}

// Takes the contacts of membership and the addresses of leaving VMs from the VM
// list. As the list may be out of date, no member is removed because of it.
void ControlCore::OnVmList(const std::vector<VmRecord>& records) {
  const auto manifest = m_follower.Manifest();
  const std::set<Endpoint> leafs =
      manifest ? LeafsOf(*manifest) : std::set<Endpoint>();
  std::vector<Endpoint> contacts = m_options.seeds;
  std::set<Endpoint> leaving;
  for (const VmRecord& record : records) {
    const bool is_leaf = leafs.contains(record.address);
    if (record.state == VmState::kLeaving) {
      leaving.insert(record.address);
    } else if (manifest && !is_leaf) {
      contacts.push_back(record.address);
    }
  }
  m_membership.SetContacts(std::move(contacts));
  m_is_table_outdated = m_is_table_outdated || leaving != m_leaving_vms;
  m_leaving_vms = std::move(leaving);
  const std::size_t factor = 1 + records.size() / kVmRecordsPerInterval;
  m_next_vm_fetch = m_context.now() + m_options.vm_list_interval * factor;
}

}  // namespace bramleyspoke
