#include "control_cost.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "connection/peer_messages.h"
#include "linear_fit.h"
#include "process/manifest_follower.h"
#include "process/membership.h"
#include "version/holder_sets.h"
#include "version/routing_table_builder.h"

namespace bramleyspoke {
namespace {

// Sizes and rates of the target deployment.
constexpr int kTargetMembers = 5500;
constexpr int kTargetServices = 730;
constexpr int kShards = 58;
constexpr int kReplicas = 2;
constexpr double kSecondsPerDay = 86400;
constexpr double kChangesPerDay = 12000;
// 9,900 restarts and 110 failures, with three updates each: a restart is
// gossiped as leaving, dead and alive, a failure as suspect, dead and alive.
constexpr double kMemberEventsPerDay = 3 * (9900 + 110);
constexpr int kWarmUpSeconds = 60;
constexpr int kSimulatedSeconds = 600;
constexpr int kTicksPerSecond = 10;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kManifestChanges = 20;
constexpr int kMemberChanges = 200;

struct Cost {
  double share_of_core = 0;
  double bytes_per_second = 0;
  double mebibytes = 0;
};

/// Sums the thread's processor time over the calls made through it.
class Stopwatch {
 public:
  template <typename Call>
  auto Time(Call call) {
    const ScopedTiming timing{this, Now()};
    return call();
  }
  double Seconds() const { return m_seconds; }

 private:
  struct ScopedTiming {
    Stopwatch* watch;
    double start;
    ~ScopedTiming() { watch->m_seconds += Now() - start; }
  };
  static double Now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }

  double m_seconds = 0;
};

double HeapMebibytes() {
  const auto heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd) / (1024.0 * 1024.0);
}

std::size_t WireBytes(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  WriteGossip(message, builder.initRoot<wire::Gossip>());
  return 8 * capnp::computeSerializedSizeInWords(builder);
}

DaemonAddress MakeMember(int number, std::uint64_t incarnation = 1) {
  const std::string host = "10.1." + std::to_string(number / 250) + "." +
                           std::to_string(number % 250 + 1);
  const int domain = number % 9;
  return {{host, 8080},
          {host, 9000},
          incarnation,
          "domain-" + std::to_string(domain),
          "region-" + std::to_string(domain % 4)};
}

MemberUpdate MakeUpdate(int number, std::uint64_t version, MemberState state) {
  return {MakeMember(number, version), state, version};
}

/// One daemon of a fleet, and a second one that simulates all other members.
class MembershipSimulation {
 public:
  explicit MembershipSimulation(int members)
      : m_members(members),
        m_other_members(MembershipOptions{}, MakeMember(1), 2) {
    GossipMessage all;
    all.sender = MakeUpdate(2, 1, MemberState::kAlive);
    for (int i = 1; i < members; ++i) {
      all.members.push_back(MakeUpdate(i, 1, MemberState::kAlive));
    }
    m_other_members.OnGossip(all, m_now);
    const double before = HeapMebibytes();
    m_daemon =
        std::make_unique<Membership>(MembershipOptions{}, MakeMember(0), 1);
    m_daemon->OnGossip(all, m_now);
    m_daemon->TakeChanges();
    m_mebibytes = HeapMebibytes() - before;
  }

  Cost Run() {
    Simulate(kWarmUpSeconds);
    return Simulate(kSimulatedSeconds);
  }

 private:
  Cost Simulate(int seconds) {
    Stopwatch watch;
    std::size_t bytes = 0;
    double due = 0;
    for (int tick = 0; tick < seconds * kTicksPerSecond; ++tick) {
      m_now += kTick;
      due += kMemberEventsPerDay / kSecondsPerDay / kTicksPerSecond;
      for (; due >= 1; due -= 1) {
        UpdateOtherMember();
      }
      const MembershipActions own =
          watch.Time([&] { return m_daemon->OnTick(m_now); });
      for (const GossipAction& action : own.gossips) {
        const GossipMessage reply =
            m_other_members.OnGossip(action.message, m_now);
        bytes += WireBytes(action.message) + WireBytes(reply);
        watch.Time([&] { m_daemon->OnReply(action.exchange, reply, m_now); });
      }
      for (const GossipAction& action : m_other_members.OnTick(m_now).gossips) {
        const GossipMessage reply = watch.Time(
            [&] { return m_daemon->OnGossip(action.message, m_now); });
        bytes += WireBytes(action.message) + WireBytes(reply);
        m_other_members.OnReply(action.exchange, reply, m_now);
      }
      watch.Time([&] { return m_daemon->TakeChanges(); });
    }
    return {watch.Seconds() / seconds, static_cast<double>(bytes) / seconds,
            m_mebibytes};
  }

  // Updates the state of one member; takes the members in turn.
  void UpdateOtherMember() {
    const auto others = static_cast<std::uint64_t>(m_members) - 2;
    const int number = 2 + static_cast<int>(m_events / 3 % others);
    const std::uint64_t version = 2 + m_events / 3 / others;
    const MemberState states[] = {MemberState::kLeaving, MemberState::kDead,
                                  MemberState::kAlive};
    const std::uint64_t step = m_events++ % 3;
    GossipMessage update;
    update.sender = MakeUpdate(2, 1, MemberState::kAlive);
    update.members = {
        MakeUpdate(number, version + (step == 2 ? 1 : 0), states[step])};
    m_other_members.OnGossip(update, m_now);
    m_other_members.TakeChanges();
  }

  int m_members;
  std::uint64_t m_events = 0;
  TimePoint m_now{std::chrono::hours(1)};
  Membership m_other_members;
  std::unique_ptr<Membership> m_daemon;
  double m_mebibytes = 0;
};

ServiceSpec MakeService(int number) {
  ServiceSpec spec;
  spec.name = "restore-desk-search-" + std::to_string(number);
  spec.slots = 2;
  spec.connections = 25;
  Layout layout;
  layout.id = "a";
  for (int shard = 0; shard < kShards; ++shard) {
    Shard new_shard;
    new_shard.id = static_cast<std::uint32_t>(shard);
    for (int replica = 0; replica < kReplicas; ++replica) {
      const int leaf = (number * kShards + shard) * kReplicas + replica;
      const DaemonAddress locality = MakeMember(number + replica);
      new_shard.replicas.push_back(
          {{"10." + std::to_string(100 + leaf / 62500) + "." +
                std::to_string(leaf / 250 % 250) + "." +
                std::to_string(leaf % 250 + 1),
            7000},
           locality.failure_domain,
           locality.region});
    }
    layout.shards.push_back(std::move(new_shard));
  }
  spec.layouts.push_back(std::move(layout));
  return spec;
}

/// The parts of a daemon that depend on the manifest: follower, holder sets and
/// routing table.
class ManifestSimulation {
 public:
  ManifestSimulation(int members, int services)
      : m_members(members),
        m_holders(std::make_unique<HolderSets>()),
        m_builder(MakeMember(0)) {
    for (int i = 0; i < services; ++i) {
      m_manifest.services.push_back(MakeService(i));
    }
    for (int i = 0; i < members; ++i) {
      m_live.push_back(MakeMember(i));
      m_holders->AddMember(m_live.back());
    }
    const ManifestParts parts = SplitManifest(m_manifest);
    const double before = HeapMebibytes();
    m_follower =
        std::make_unique<ManifestFollower>(FollowerOptions{}, 1, m_now);
    ApplyManifest(parts);
    BuildTable();
    m_mebibytes = HeapMebibytes() - before;
  }

  /// Cost of manifest changes, each of one service.
  Cost RunManifestChanges() {
    Stopwatch watch;
    m_bytes = 0;
    for (int change = 0; change < kManifestChanges; ++change) {
      ServiceSpec& spec =
          m_manifest.services[change % m_manifest.services.size()];
      ++spec.max_hits;
      const ManifestParts parts = SplitManifest(m_manifest);
      watch.Time([&] {
        ApplyManifest(parts);
        BuildTable();
      });
    }
    const double changes = kChangesPerDay / kSecondsPerDay / kManifestChanges;
    return {watch.Seconds() * changes, static_cast<double>(m_bytes) * changes,
            m_mebibytes};
  }

  /// Cost of member changes, each a member removed or added.
  Cost RunMemberChanges() {
    Stopwatch watch;
    for (int change = 0; change < kMemberChanges; ++change) {
      const DaemonAddress member = MakeMember(1 + change % (m_members - 1));
      watch.Time([&] {
        m_holders->RemoveMember(member.peer);
        BuildTable();
      });
      watch.Time([&] {
        m_holders->AddMember(member);
        BuildTable();
      });
    }
    const double changes =
        kMemberEventsPerDay / kSecondsPerDay / (2.0 * kMemberChanges);
    return {watch.Seconds() * changes, 0, 0};
  }

 private:
  // Applies the manifest as received from a peer that has it in force.
  void ApplyManifest(const ManifestParts& parts) {
    const Endpoint peer = MakeMember(1).peer;
    FollowerActions actions = m_follower->OnPeerStatus(
        peer, {++m_generation, parts.root, Duration::zero()}, m_now, m_now);
    while (!actions.fetches.empty()) {
      const FetchAction fetch = actions.fetches.front();
      std::vector<std::string> contents;
      for (const std::string& hash : fetch.hashes) {
        contents.push_back(*parts.parts.at(hash));
        m_bytes += contents.back().size() + hash.size();
      }
      actions = m_follower->OnPeerParts(fetch.fetch, contents, m_now);
    }
    m_holders->SetServices(m_follower->Manifest()->services);
  }

  void BuildTable() {
    RoutingInput input;
    input.generation = m_generation;
    input.manifest = m_follower->Manifest();
    input.members = m_live;
    m_table = m_builder.Build(std::move(input), *m_holders);
    m_holders->TakeChanged();
  }

  int m_members;
  TimePoint m_now{std::chrono::hours(1)};
  Manifest m_manifest;
  std::vector<DaemonAddress> m_live;
  std::unique_ptr<HolderSets> m_holders;
  std::unique_ptr<ManifestFollower> m_follower;
  RoutingTableBuilder m_builder;
  std::shared_ptr<const RoutingTable> m_table;
  std::uint64_t m_generation = 0;
  std::size_t m_bytes = 0;
  double m_mebibytes = 0;
};

/// Costs by part at several fleet sizes.
class CostTable {
 public:
  explicit CostTable(std::ostream& out) : m_out(out) {}

  void Add(const std::string& part, int members, const Cost& cost) {
    m_out << R"({"bench":"control_cost","part":")" << part << R"(","members":)"
          << members << R"(,"share_of_core":)" << cost.share_of_core
          << R"(,"bytes_per_second":)" << cost.bytes_per_second
          << R"(,"mebibytes":)" << cost.mebibytes << "}\n";
    m_core[part].push_back({double(members), cost.share_of_core});
    m_bytes[part].push_back({double(members), cost.bytes_per_second});
    m_memory[part].push_back({double(members), cost.mebibytes});
  }

  void PrintFits() {
    PrintFits("share_of_core", m_core);
    PrintFits("bytes_per_second", m_bytes);
    PrintFits("mebibytes", m_memory);
  }

 private:
  using Points = std::map<std::string, std::vector<FitPoint>>;

  void PrintFits(const std::string& figure, const Points& by_part) {
    double total = 0;
    for (const auto& [part, points] : by_part) {
      const LinearFit fit = FitLine(points);
      const double at_target = fit.at_zero + fit.slope * kTargetMembers;
      total += at_target;
      m_out << R"({"fit":")" << figure << R"(","part":")" << part
            << R"(","at_zero":)" << fit.at_zero << R"(,"per_member":)"
            << fit.slope << R"(,"residual":)" << fit.residual
            << R"(,"at_target":)" << at_target << "}\n";
    }
    m_out << R"({"total_at_target":")" << figure << R"(","value":)" << total
          << "}\n";
  }

  std::ostream& m_out;
  Points m_core;
  Points m_bytes;
  Points m_memory;
};

}  // namespace

void BenchControlCost(std::ostream& out) {
  CostTable table(out);
  for (const int members : {250, 1000, 2500, 5500}) {
    table.Add("membership", members, MembershipSimulation(members).Run());
    ManifestSimulation simulation(members,
                                  kTargetServices * members / kTargetMembers);
    table.Add("manifest_changes", members, simulation.RunManifestChanges());
    table.Add("holders_and_table", members, simulation.RunMemberChanges());
  }
  table.PrintFits();
}

}  // namespace bramleyspoke
