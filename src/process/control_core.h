#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/control.h"
#include "process/manifest_follower.h"
#include "process/membership.h"
#include "process/notice_tracker.h"
#include "version/holder_sets.h"
#include "version/routing_table_builder.h"

namespace bramleyspoke {

/// Dependencies of the control thread.
struct ControlContext {
  ConfigStore& store;
  VmList& vm_list;
  PeerNetwork& peers;
  ControlListener& listener;
  /// The control thread's clock.
  std::function<TimePoint()> now;
  /// Queues a call on the control thread; may be called from any thread.
  std::function<void(std::function<void()>)> post;
};

/// Connects membership, manifest follower and notices, and performs the actions
/// they request. Runs on the control thread.
class ControlCore {
 public:
  ControlCore(ControlOptions options, ControlContext context);

  void OnTick();
  void BeginLeaving();
  /// Sends evidence of this daemon to the other holders of its service.
  void PublishEvidence(EvidenceNotice evidence);
  void PublishDrain(const DrainNotice& drain);
  std::string DumpJson() const;

  GossipMessage OnGossip(const GossipMessage& message);
  void OnPingVia(const Endpoint& target, std::function<void(bool)> reply);
  std::vector<std::string> OnFetchParts(
      const std::vector<std::string>& hashes) const;

 private:
  void CheckPause();
  void Run(const MembershipActions& actions);
  void Send(const GossipAction& action);
  void OnReply(const GossipAction& action,
               TimePoint requested_at,
               const std::optional<GossipMessage>& reply);
  void Run(FollowerActions actions);
  void Fetch(const FetchAction& action);
  void ReadPart(const ReadPartAction& action);
  void ReadHead();
  void WatchHead(std::int64_t revision);
  void AddStatus(GossipMessage& message) const;
  void HandleStatus(const GossipMessage& message,
                    std::optional<TimePoint> requested_at);
  void HandleNotices(const GossipMessage& message);
  std::uint64_t NextEvidenceId();
  void SendNotices();
  std::set<std::string> HeldServicesOf(const Endpoint& leaf) const;
  void ApplyMemberChanges();
  void ApplyHolderChanges();
  void PublishTable();
  void FetchVmList();
  void OnVmList(const std::vector<VmRecord>& records);

  ControlOptions m_options;
  ControlContext m_context;
  Membership m_membership;
  ManifestFollower m_follower;
  HolderSets m_holders;
  NoticeTracker m_notices;
  std::uint64_t m_last_evidence = 0;
  RoutingTableBuilder m_builder;
  std::shared_ptr<const RoutingTable> m_table;
  std::unique_ptr<StoreWatch> m_watch;
  std::uint64_t m_watch_number = 0;
  TimePoint m_started_at;
  std::optional<TimePoint> m_last_tick;
  std::optional<TimePoint> m_next_vm_fetch;
  std::set<Endpoint> m_leaving_vms;
  bool m_is_table_outdated = true;
  bool m_is_follower_fleet_outdated = true;
};

}  // namespace bramleyspoke
