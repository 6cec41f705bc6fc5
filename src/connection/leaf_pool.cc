#include "connection/leaf_pool.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <utility>

#include "connection/event_loop.h"
#include "connection/leaf_connections.h"
#include "connection/leaf_control.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr Duration kMaintainInterval = std::chrono::seconds(1);

// The connection limit and the connections of one leaf.
struct LeafEntry {
  LeafEntry(EventLoop& loop,
            const LeafPoolOptions& options,
            LeafPoolCounters& totals,
            const Endpoint& leaf)
      : limit(options.default_limit),
        connections(loop, options, totals, leaf),
        control(loop, options, totals, leaf) {
    SetLimit(limit);
  }

  bool HasControl() const { return limit >= 2; }

  void SetLimit(std::uint32_t new_limit) {
    limit = new_limit;
    connections.SetLimit(HasControl() ? limit - 1 : limit);
  }

  std::uint32_t limit;
  Detail::LeafConnections connections;
  Detail::LeafControl control;
};

json::object EncodeEntry(const Endpoint& leaf, const LeafEntry& entry) {
  const Detail::LeafConnectionCounts counts = entry.connections.Counts();
  return json::object{
      {"leaf", ToString(leaf)},    {"limit", entry.limit},
      {"opening", counts.opening}, {"idle", counts.idle},
      {"busy", counts.busy},       {"late", counts.late},
      {"waiting", counts.waiting}, {"control", entry.control.IsOpen()}};
}

bool IsUnused(const LeafEntry& entry) {
  const Detail::LeafConnectionCounts counts = entry.connections.Counts();
  return entry.limit == 0 &&
         counts.opening + counts.idle + counts.busy + counts.late +
                 counts.waiting ==
             0 &&
         entry.control.IsIdle();
}

class LeafPoolImpl final : public LeafPool {
 public:
  LeafPoolImpl(EventLoop& loop, const LeafPoolOptions& options)
      : m_loop(loop),
        m_options(options),
        m_self(std::make_shared<LeafPoolImpl*>(this)) {
    m_loop.Post([self = m_self] {
      if (*self != nullptr) {
        (*self)->Maintain();
      }
    });
  }

  ~LeafPoolImpl() override { *m_self = nullptr; }

  void Send(const Endpoint& leaf,
            const Attempt& attempt,
            std::function<void(AttemptOutcome)> done) override {
    EntryOf(leaf).connections.Send(attempt, std::move(done));
  }

  void Cancel(const Endpoint& leaf, const std::string& attempt_id) override {
    LeafEntry& entry = EntryOf(leaf);
    if (entry.connections.Cancel(attempt_id) && entry.HasControl()) {
      entry.control.Cancel(attempt_id);
    }
  }

  void FetchStatus(
      const Endpoint& leaf,
      std::function<void(std::optional<LeafStatus>)> done) override {
    LeafEntry& entry = EntryOf(leaf);
    if (entry.HasControl()) {
      entry.control.FetchStatus(std::move(done));
    } else {
      m_loop.Post([done = std::move(done)] { done(std::nullopt); });
    }
  }

  void SetConnectionLimit(const Endpoint& leaf, std::uint32_t limit) override {
    EntryOf(leaf).SetLimit(limit);
  }

  void KeepOpen(const Endpoint& leaf, std::uint32_t count) override {
    LeafEntry& entry = EntryOf(leaf);
    entry.connections.KeepOpen(count);
    if (count > 0 && entry.HasControl()) {
      entry.control.Open();
    }
  }

  LeafPoolCounters Counters() const override { return m_totals; }

  std::string DumpJson() const override {
    json::array leafs;
    for (const auto& [leaf, entry] : m_entries) {
      leafs.push_back(EncodeEntry(leaf, *entry));
    }
    return json::serialize(
        json::object{{"open", m_totals.open},
                     {"opened", m_totals.opened},
                     {"closed", m_totals.closed},
                     {"open_failures", m_totals.open_failures},
                     {"late_answers", m_totals.late_answers},
                     {"waiting", m_totals.waiting},
                     {"leafs", std::move(leafs)}});
  }

 private:
  LeafEntry& EntryOf(const Endpoint& leaf) {
    auto& entry = m_entries[leaf];
    if (!entry) {
      entry = std::make_unique<LeafEntry>(m_loop, m_options, m_totals, leaf);
    }
    return *entry;
  }

  void Maintain() {
    for (auto it = m_entries.begin(); it != m_entries.end();) {
      it->second->connections.Maintain();
      it->second->control.Maintain();
      it = IsUnused(*it->second) ? m_entries.erase(it) : std::next(it);
    }
    m_timer = m_loop.At(std::chrono::steady_clock::now() + kMaintainInterval,
                        [this] { Maintain(); });
  }

  EventLoop& m_loop;
  LeafPoolOptions m_options;
  LeafPoolCounters m_totals;
  std::map<Endpoint, std::unique_ptr<LeafEntry>> m_entries;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<LeafPoolImpl*> m_self;
};

}  // namespace

std::unique_ptr<LeafPool> LeafPool::Create(EventLoop& loop,
                                           const LeafPoolOptions& options) {
  return std::make_unique<LeafPoolImpl>(loop, options);
}

}  // namespace bramleyspoke
