#include "process/relay_control.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/problems.h"
#include "connection/event_loop.h"
#include "process/daemon_registration.h"
#include "process/log.h"
#include "process/store_follower.h"
#include "version/leaf_registry.h"

namespace bramleyspoke {
namespace {

class StoreRelayControl final : public RelayControl, public StoreListener {
 public:
  StoreRelayControl(EventLoop& loop,
                    KeyValueStore& store,
                    const StoreSchema& schema,
                    std::string name,
                    DaemonEntry self,
                    RelayControlListener& listener)
      : m_loop(loop),
        m_schema(schema),
        m_name(std::move(name)),
        m_self(std::move(self)),
        m_listener(listener),
        m_follower(loop, store, "", *this),
        m_registration(loop,
                       store,
                       schema.DaemonKey(m_name),
                       schema.WriteDaemon(m_self),
                       [this] { m_follower.Doubt(); }) {}

  void Start() override {
    m_follower.Start();
    m_registration.Start();
  }

  void SetServing(bool is_serving) override {
    const StorePace& pace = is_serving ? kServingPace : kStandbyPace;
    m_follower.SetPace(pace);
    m_registration.SetPace(pace);
  }

  void BeginLeaving() override { m_registration.End(); }

  // StoreListener.

  void OnKeys(const std::vector<KeyValueItem>& items) override {
    std::vector<std::string> leafs;
    std::map<std::string, DaemonEntry> daemons;
    for (const KeyValueItem& item : items) {
      switch (m_schema.KindOf(item.key)) {
        case StoreKeyKind::kRoutes:
          TakeRoutes(item.value);
          break;
        case StoreKeyKind::kLeaf:
          if (TakeLeaf(m_schema.NameOf(item.key), item.value)) {
            leafs.push_back(m_schema.NameOf(item.key));
          }
          break;
        case StoreKeyKind::kDaemon:
          TakeDaemon(item.key, item.value, daemons);
          break;
        case StoreKeyKind::kOther:
          break;
      }
    }
    m_registry.RetainOnly(leafs, Now());
    m_daemons = std::move(daemons);
    if (!m_daemons.contains(m_schema.DaemonKey(m_name))) {
      m_registration.Restore();
    }
    WriteLog(LogLevel::kInfo, "store_read",
             {Field("keys", items.size()), Field("leafs", m_registry.size()),
              Field("daemons", m_daemons.size())});
    TellLeafs();
    TellDaemons();
  }

  void OnChanges(const std::vector<KeyValueEvent>& events) override {
    bool is_leaf_changed = false;
    bool is_daemon_changed = false;
    for (const KeyValueEvent& event : events) {
      switch (m_schema.KindOf(event.key)) {
        case StoreKeyKind::kRoutes:
          if (event.value) {
            TakeRoutes(*event.value);
          }
          break;
        case StoreKeyKind::kLeaf:
          is_leaf_changed = true;
          TakeLeafEvent(event);
          break;
        case StoreKeyKind::kDaemon:
          is_daemon_changed = true;
          TakeDaemonEvent(event);
          break;
        case StoreKeyKind::kOther:
          break;
      }
    }
    if (is_leaf_changed) {
      TellLeafs();
    }
    if (is_daemon_changed) {
      TellDaemons();
    }
  }

  void OnStoreLost(KeyValueStatus status) override {
    WriteLog(LogLevel::kWarning, "store_lost",
             {Field("status", ToString(status))});
    m_registry.OnStoreLost();
    m_listener.OnStore(false);
  }

  void OnStoreBack() override {
    WriteLog(LogLevel::kInfo, "store_back", {});
    m_registry.OnStoreBack(Now());
    m_listener.OnStore(true);
    ArmSettle();
  }

 private:
  static TimePoint Now() { return std::chrono::steady_clock::now(); }

  // Versions only go up: an older one read late changes nothing.
  void TakeRoutes(const std::string& value) {
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
    WriteLog(
        LogLevel::kInfo, "routes_in_force",
        {Field("version", m_version), Field("routes", table->Routes().size())});
    m_listener.OnTable(table);
  }

  bool TakeLeaf(const std::string& name, const std::string& value) {
    const auto read = Check([&] { return m_schema.ReadLeaf(name, value); });
    if (!read.value) {
      WriteLog(
          LogLevel::kWarning, "leaf_refused",
          {Field("leaf", name), Field("problems", ToString(read.problems))});
      return false;
    }
    m_registry.Put(*read.value, Now());
    return true;
  }

  void TakeLeafEvent(const KeyValueEvent& event) {
    const std::string name = m_schema.NameOf(event.key);
    if (!event.value || !TakeLeaf(name, *event.value)) {
      m_registry.Remove(name, Now());
    }
    if (IsLogged(LogLevel::kDebug)) {
      WriteLog(LogLevel::kDebug, "leaf_changed",
               {Field("leaf", name), Field("entry", event.value.value_or(""))});
    }
  }

  bool TakeDaemon(const std::string& key,
                  const std::string& value,
                  std::map<std::string, DaemonEntry>& daemons) {
    const auto read = Check([&] { return m_schema.ReadDaemon(value); });
    if (!read.value) {
      WriteLog(LogLevel::kWarning, "daemon_refused",
               {Field("key", key), Field("problems", ToString(read.problems))});
      return false;
    }
    daemons[key] = *read.value;
    return true;
  }

  void TakeDaemonEvent(const KeyValueEvent& event) {
    if (!event.value || !TakeDaemon(event.key, *event.value, m_daemons)) {
      m_daemons.erase(event.key);
      if (event.key == m_schema.DaemonKey(m_name)) {
        m_registration.Restore();
      }
    }
  }

  void TellLeafs() {
    m_listener.OnLeafs(m_registry.Leafs());
    ArmSettle();
  }

  void TellDaemons() {
    std::vector<DaemonEntry> daemons;
    for (const auto& row : m_daemons) {
      const DaemonEntry& daemon = row.second;
      const bool is_known = std::any_of(
          daemons.begin(), daemons.end(),
          [&](const auto& other) { return other.address == daemon.address; });
      if (!is_known) {
        daemons.push_back(daemon);
      }
    }
    m_listener.OnDaemons(std::move(daemons));
  }

  void ArmSettle() {
    const auto next = m_registry.NextSettle();
    if (!next) {
      m_settle_timer.reset();
      return;
    }
    m_settle_timer = m_loop.At(*next, [this] {
      if (m_registry.Settle(Now())) {
        WriteLog(LogLevel::kInfo, "leafs_settled",
                 {Field("leafs", m_registry.size())});
        m_listener.OnLeafs(m_registry.Leafs());
      }
      ArmSettle();
    });
  }

  EventLoop& m_loop;
  const StoreSchema& m_schema;
  std::string m_name;
  DaemonEntry m_self;
  RelayControlListener& m_listener;
  StoreFollower m_follower;
  DaemonRegistration m_registration;
  LeafRegistry m_registry;
  std::map<std::string, DaemonEntry> m_daemons;
  std::uint64_t m_version = 0;
  std::unique_ptr<Timer> m_settle_timer;
};

}  // namespace

std::unique_ptr<RelayControl> RelayControl::Create(
    EventLoop& loop,
    KeyValueStore& store,
    const StoreSchema& schema,
    std::string name,
    DaemonEntry self,
    RelayControlListener& listener) {
  return std::make_unique<StoreRelayControl>(
      loop, store, schema, std::move(name), std::move(self), listener);
}

}  // namespace bramleyspoke
