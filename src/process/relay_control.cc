#include "process/relay_control.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "base/enum_names.h"
#include "base/problems.h"
#include "connection/event_loop.h"
#include "process/crash_suspects.h"
#include "process/daemon_registration.h"
#include "process/leaf_entries.h"
#include "process/log.h"
#include "process/peer_routes.h"
#include "process/read_order.h"
#include "process/seed_reader.h"
#include "process/store_follower.h"
#include "version/entry_registry.h"

namespace bramleyspoke {
namespace {

// The part of the apply bound in which routes that a peer has should arrive
// from the store. A holder delays its watches for less, a standby for less than
// twice as long.
constexpr int kRoutesPatienceFraction = 4;

// While a fleet starts, daemons change between holder and standby as leafs and
// other daemons register. Each change of timings costs three calls.
constexpr std::chrono::seconds kRoleSettleTime{2};

/// How routes were received.
enum class RoutesSource {
  kRead,
  kWatch,
  kPeer,
};

constexpr EnumNames<RoutesSource, 3> kRoutesSourceNames{{{
    {RoutesSource::kRead, "read"},
    {RoutesSource::kWatch, "watch"},
    {RoutesSource::kPeer, "peer"},
}}};

// -1 if the store had not responded before.
std::int64_t UnconfirmedMilliseconds(const StoreCallEnd& end) {
  return end.unconfirmed ? ToMilliseconds(*end.unconfirmed) : -1;
}

MemberUpdate MakeMember(const DaemonEntry& entry) {
  MemberUpdate member;
  member.address.caller = entry.address;
  member.address.peer = entry.peer;
  member.address.failure_domain = entry.failure_domain;
  member.address.region = entry.region;
  return member;
}

class StoreRelayControl final : public RelayControl, public StoreListener {
 public:
  StoreRelayControl(EventLoop& loop,
                    KeyValueStore& store,
                    const StoreSchema& schema,
                    const RelayControlOptions& options,
                    PeerNetwork& peers,
                    RelayControlListener& listener)
      : m_loop(loop),
        m_schema(schema),
        m_own_key(schema.DaemonKey(options.name)),
        m_own_entry(options.entry),
        m_seeds(options.seeds),
        m_seed_reader(SeedReader::Create(loop, peers, options.seeds)),
        m_peer_routes(
            loop,
            peers,
            MakeMember(options.entry),
            options.apply_bound / kRoutesPatienceFraction,
            [this] { return AskStoreForRoutes(); },
            [this](const StoreKnowledge& knowledge) {
              TakeNewerRoutes(knowledge);
            }),
        m_listener(listener),
        m_follower(loop, store, options.apply_bound, *this),
        m_registration(loop,
                       store,
                       m_own_key,
                       schema.WriteDaemon(options.entry),
                       [this] { m_follower.Probe(); }),
        m_suspects(loop,
                   store,
                   schema,
                   m_own_key,
                   [this](const CrashSuspect& suspect) {
                     m_listener.OnCrashSuspect(suspect);
                   }),
        m_leafs(schema) {
    store.OnEraChange(
        [this](const StoreEraChange& change) { BeginEra(change); });
  }

  void Start() override {
    m_follower.Start();
    m_registration.Start();
    // A store that has gone back to an older copy has older routes than peers.
    m_peer_routes.Ask(m_seeds);
    m_seed_reader->Start([this](const StoreKnowledge& knowledge) {
      ApplyPeerKnowledge(knowledge);
    });
  }

  void SetIsHolder(bool is_holder) override {
    if (m_is_holder == is_holder) {
      return;
    }
    m_is_holder = is_holder;
    m_role_timer = m_loop.At(Now() + Duration(kRoleSettleTime),
                             [this] { ApplyTimings(); });
  }

  void SetCutOff(bool is_cut_off) override {
    m_own_entry.is_cut_off = is_cut_off;
    m_registration.SetValue(m_schema.WriteDaemon(m_own_entry));
  }

  void CheckStore() override { m_follower.CheckNow(); }

  void OnNewerRoutesAtPeer(const Endpoint& peer,
                           std::uint64_t version) override {
    m_peer_routes.OnVersionSeen(peer, version);
  }

  void AddCrashSuspect(const CrashSuspect& suspect) override {
    m_suspects.Add(suspect);
  }

  StoreKnowledge Knowledge() const override {
    StoreKnowledge knowledge;
    knowledge.routes = m_routes;
    knowledge.leafs = m_leafs.Registry().Values();
    for (const auto& [key, daemon] : m_daemons.Rows()) {
      knowledge.daemons.push_back({key, daemon});
    }
    knowledge.suspects = m_suspects.Values();
    return knowledge;
  }

  void BeginLeaving() override { m_registration.Unregister(); }

  // StoreListener.

  void OnKeys(const std::vector<KeyValueItem>& items,
              const StoreCallEnd& end) override {
    m_seed_reader->Stop();
    m_listener.OnStoreReachability(true);
    std::set<std::string> leafs;
    std::set<std::string> daemons;
    for (const KeyValueItem& item : items) {
      switch (m_schema.KindOf(item.key)) {
        case StoreKeyKind::kRoutes:
          ApplyRoutes(item.value, RoutesSource::kRead, end);
          break;
        case StoreKeyKind::kLeaf:
          if (m_leafs.Apply(m_schema.NameOf(item.key), item.value,
                            MayBeOutdated())) {
            leafs.insert(m_schema.NameOf(item.key));
          }
          break;
        case StoreKeyKind::kDaemon:
          if (ApplyDaemon(item.key, item.value)) {
            daemons.insert(item.key);
          }
          break;
        case StoreKeyKind::kCrashSuspect:
          m_suspects.ApplyEntry(item.key, item.value);
          break;
        case StoreKeyKind::kOther:
          break;
      }
    }
    m_leafs.Registry().RetainOnly(leafs, Now());
    m_daemons.RetainOnly(daemons, Now());
    if (!daemons.contains(m_own_key)) {
      m_registration.Restore();
    }
    if (MayBeOutdated()) {
      m_suspects.RewriteMissing();
    }
    WriteLog(
        LogLevel::kInfo, "store_read",
        {Field("keys", items.size()), Field("leafs", m_leafs.Registry().size()),
         Field("daemons", m_daemons.size())});
    NotifyDaemons();
    NotifyLeafs();
  }

  void OnChanges(const std::vector<KeyValueEvent>& events,
                 const StoreCallEnd& end) override {
    bool is_leaf_changed = false;
    bool is_daemon_changed = false;
    for (const KeyValueEvent& event : events) {
      switch (m_schema.KindOf(event.key)) {
        case StoreKeyKind::kRoutes:
          if (event.value) {
            ApplyRoutes(*event.value, RoutesSource::kWatch, end);
          }
          break;
        case StoreKeyKind::kLeaf:
          is_leaf_changed = true;
          m_leafs.ApplyChange(m_schema.NameOf(event.key), event.value,
                              MayBeOutdated(), Now());
          break;
        case StoreKeyKind::kDaemon:
          is_daemon_changed = true;
          ApplyDaemonEvent(event);
          break;
        case StoreKeyKind::kCrashSuspect:
          ApplyCrashSuspectEvent(event);
          break;
        case StoreKeyKind::kOther:
          break;
      }
    }
    if (is_leaf_changed) {
      NotifyLeafs();
    }
    if (is_daemon_changed) {
      NotifyDaemons();
    }
  }

  // The daemons' entries come before the leafs', and are complete once a page
  // ends with a leaf.
  Duration DelayOfNextPage(const std::vector<KeyValueItem>& items) override {
    if (m_schema.KindOf(items.back().key) != StoreKeyKind::kLeaf) {
      return Duration::zero();
    }
    std::vector<DaemonEntry> daemons;
    for (const KeyValueItem& item : items) {
      if (m_schema.KindOf(item.key) != StoreKeyKind::kDaemon) {
        continue;
      }
      if (const auto read =
              Check([&] { return m_schema.ReadDaemon(item.value); });
          read.value) {
        daemons.push_back(*read.value);
      }
    }
    const Duration delay = ChooseReadDelay(m_own_entry, daemons);
    m_seed_reader->Postpone(delay);
    return delay;
  }

  void OnStoreConfirmed(TimePoint at) override {
    m_listener.OnStoreConfirmed(at);
  }

  void OnStoreUnavailable(const StoreCallEnd& end) override {
    WriteLog(LogLevel::kWarning, "store_lost",
             {Field("status", ToString(end.status)),
              Field("waited_ms", ToMilliseconds(end.waited)),
              Field("unconfirmed_ms", UnconfirmedMilliseconds(end))});
    m_leafs.Registry().OnStoreUnavailable();
    m_daemons.OnStoreUnavailable();
    m_listener.OnStoreReachability(false);
  }

  void OnStoreAvailable() override {
    WriteLog(LogLevel::kInfo, "store_back", {});
    m_leafs.Registry().OnStoreAvailable(Now());
    m_daemons.OnStoreAvailable(Now());
    m_listener.OnStoreReachability(true);
    ArmExpiryTimer();
  }

 private:
  void ApplyTimings() {
    const StoreTimings& timings =
        m_is_holder ? kHolderTimings : kStandbyTimings;
    m_follower.SetTimings(timings);
    m_registration.SetTimings(timings);
  }

  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // Everything stays in use until the keys are read again. As after an outage,
  // entries that the copy lacks are kept until their owners have had time to
  // write them again.
  void BeginEra(const StoreEraChange& change) {
    WriteLog(
        LogLevel::kWarning, "store_era_changed",
        {Field("before", change.before), Field("after", change.after),
         Field("version", m_version), Field("leafs", m_leafs.Registry().size()),
         Field("daemons", m_daemons.size())});
    m_era_began_at = Now();
    m_leafs.Registry().OnStoreUnavailable();
    m_leafs.Registry().OnStoreAvailable(Now());
    m_daemons.OnStoreUnavailable();
    m_daemons.OnStoreAvailable(Now());
    m_registration.OnNewEra();
    m_suspects.OnNewEra();
    m_follower.ReadAgain();
    m_peer_routes.Ask(m_seeds);
    m_listener.OnStoreEra(change);
  }

  // Whether an entry may be older than what is known: read from the copy from
  // which the store came back, before its owner has written it again.
  bool MayBeOutdated() const {
    return m_era_began_at && Now() - *m_era_began_at < kReregistrationGrace;
  }

  // Versions only increase; an older one that arrives late is ignored.
  void ApplyRoutes(const std::string& value,
                   RoutesSource source,
                   const StoreCallEnd& end) {
    const auto read = Check([&] { return m_schema.ReadRoutes(value); });
    if (!read.value) {
      WriteLog(LogLevel::kError, "routes_refused",
               {Field("problems", ToString(read.problems))});
      return;
    }
    const auto& table = *read.value;
    if (table->Version() <= m_version) {
      return;
    }
    m_version = table->Version();
    m_routes = value;
    WriteLog(
        LogLevel::kInfo, "routes_in_force",
        {Field("version", m_version), Field("routes", table->Routes().size()),
         Field("source", kRoutesSourceNames.NameOf(source)),
         Field("waited_ms", ToMilliseconds(end.waited)),
         Field("unconfirmed_ms", UnconfirmedMilliseconds(end))});
    m_listener.OnTable(table);
    m_peer_routes.SetVersion(m_version);
  }

  bool ApplyDaemon(const std::string& key, const std::string& value) {
    const auto read = Check([&] { return m_schema.ReadDaemon(value); });
    if (!read.value) {
      WriteLog(LogLevel::kWarning, "daemon_refused",
               {Field("key", key), Field("problems", ToString(read.problems))});
      return false;
    }
    m_daemons.Put(key, *read.value);
    if (key == m_own_key) {
      m_registration.OnStored(value);
    }
    return true;
  }

  void ApplyDaemonEvent(const KeyValueEvent& event) {
    if (!event.value || !ApplyDaemon(event.key, *event.value)) {
      m_daemons.Remove(event.key, Now());
      if (event.key == m_own_key) {
        m_registration.Restore();
      }
    }
  }

  void ApplyCrashSuspectEvent(const KeyValueEvent& event) {
    if (event.value) {
      m_suspects.ApplyEntry(event.key, *event.value);
    } else {
      m_suspects.RemoveEntry(event.key);
    }
  }

  // Applies routes, leafs and daemons received from a peer. The first read of
  // the store removes the leafs and daemons that it lacks and replaces the
  // routes if its version is newer.
  void ApplyPeerKnowledge(const StoreKnowledge& knowledge) {
    WriteLog(LogLevel::kInfo, "peer_knowledge_taken",
             {Field("leafs", knowledge.leafs.size()),
              Field("daemons", knowledge.daemons.size())});
    ApplyRoutes(knowledge.routes, RoutesSource::kPeer, {});
    for (const LeafRegistration& leaf : knowledge.leafs) {
      m_leafs.AddFromPeer(leaf);
    }
    for (const KeyedDaemon& keyed : knowledge.daemons) {
      m_daemons.Put(keyed.key, keyed.daemon);
    }
    for (const CrashSuspect& suspect : knowledge.suspects) {
      m_suspects.AddFromPeer(suspect);
    }
    NotifyDaemons();
    NotifyLeafs();
  }

  // Returns false if the store is unavailable.
  bool AskStoreForRoutes() {
    if (m_follower.IsUnavailable()) {
      return false;
    }
    m_follower.Probe();
    return true;
  }

  // While the store is unavailable to this daemon alone, the peer's leafs are
  // needed too: the new routes may lead to leafs that are not known here. One
  // that the peer only keeps for its grace period goes with the next read of
  // all keys.
  void TakeNewerRoutes(const StoreKnowledge& knowledge) {
    if (!m_follower.IsUnavailable()) {
      ApplyRoutes(knowledge.routes, RoutesSource::kPeer, {});
      return;
    }
    ApplyPeerKnowledge(knowledge);
    m_follower.ReadAgain();
  }

  void NotifyLeafs() {
    m_listener.OnLeafs(m_leafs.Registry().Values());
    ArmExpiryTimer();
  }

  void NotifyDaemons() {
    std::vector<DaemonEntry> daemons;
    for (const DaemonEntry& daemon : m_daemons.Values()) {
      const bool is_known = std::any_of(
          daemons.begin(), daemons.end(),
          [&](const auto& other) { return other.address == daemon.address; });
      if (!is_known) {
        daemons.push_back(daemon);
      }
    }
    m_listener.OnDaemons(std::move(daemons));
    ArmExpiryTimer();
  }

  void ArmExpiryTimer() {
    const auto leafs = m_leafs.Registry().NextExpiry();
    const auto daemons = m_daemons.NextExpiry();
    if (!leafs && !daemons) {
      m_expiry_timer.reset();
      return;
    }
    const TimePoint next = std::min(leafs.value_or(TimePoint::max()),
                                    daemons.value_or(TimePoint::max()));
    m_expiry_timer = m_loop.At(next, [this] { RemoveExpired(); });
  }

  void RemoveExpired() {
    if (m_leafs.Registry().RemoveExpired(Now())) {
      WriteLog(LogLevel::kInfo, "leafs_settled",
               {Field("leafs", m_leafs.Registry().size())});
      m_listener.OnLeafs(m_leafs.Registry().Values());
    }
    if (m_daemons.RemoveExpired(Now())) {
      WriteLog(LogLevel::kInfo, "daemons_settled",
               {Field("daemons", m_daemons.size())});
      NotifyDaemons();
    }
    ArmExpiryTimer();
  }

  EventLoop& m_loop;
  const StoreSchema& m_schema;
  std::string m_own_key;
  DaemonEntry m_own_entry;
  std::vector<Endpoint> m_seeds;
  std::unique_ptr<SeedReader> m_seed_reader;
  PeerRoutes m_peer_routes;
  RelayControlListener& m_listener;
  StoreFollower m_follower;
  DaemonRegistration m_registration;
  CrashSuspects m_suspects;
  LeafEntries m_leafs;
  EntryRegistry<DaemonEntry> m_daemons;
  /// The routes in force, as stored.
  std::string m_routes;
  std::uint64_t m_version = 0;
  std::optional<TimePoint> m_era_began_at;
  std::unique_ptr<Timer> m_expiry_timer;
  bool m_is_holder = false;
  std::unique_ptr<Timer> m_role_timer;
};

}  // namespace

std::unique_ptr<RelayControl> RelayControl::Create(
    EventLoop& loop,
    KeyValueStore& store,
    const StoreSchema& schema,
    const RelayControlOptions& options,
    PeerNetwork& peers,
    RelayControlListener& listener) {
  return std::make_unique<StoreRelayControl>(loop, store, schema, options,
                                             peers, listener);
}

}  // namespace bramleyspoke
