#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "connection/config_store.h"
#include "version/manifest_parts.h"

namespace bramleyspoke {

struct FollowerOptions {
  /// Interval at which a watcher reads the manifest head in addition to its
  /// watch.
  Duration poll_interval = std::chrono::seconds(5);
  /// Delay before a manifest that no peer could supply is read from the store.
  Duration fallback_delay = std::chrono::seconds(1);
  /// Upper bound, per member of the fleet, of a random additional delay that
  /// keeps the daemons from reading the store all at once.
  Duration fallback_spread = std::chrono::milliseconds(10);
  /// Age of the last confirmation by the store above which a generation counts
  /// as unconfirmed.
  Duration confirmation_limit = std::chrono::seconds(60);
  /// Time after which a refresh no longer waits for the store or enough peers
  /// to respond.
  Duration refresh_limit = std::chrono::seconds(10);
  /// Number of peers whose status completes a refresh without the store.
  std::size_t refresh_peers = 3;
};

/// Request for parts from `peer`; the outcome goes to `OnPeerParts`.
struct FetchAction {
  std::uint64_t fetch = 0;
  Endpoint peer;
  std::vector<std::string> hashes;
};

/// Request for a part from the store; the outcome goes to `OnStorePart`.
struct ReadPartAction {
  std::uint64_t fetch = 0;
  std::string hash;
};

/// Request to watch the head from `revision` on, in place of any earlier watch.
struct WatchAction {
  std::int64_t revision = 0;
};

struct FollowerActions {
  std::vector<FetchAction> fetches;
  std::vector<ReadPartAction> reads;
  /// Whether to read the head; the outcome goes to `OnStoreHead`.
  bool read_head = false;
  std::optional<WatchAction> watch;
  bool stop_watch = false;
  /// Whether a new manifest is in force, so that the routing table must be
  /// rebuilt and random peers notified.
  bool is_changed = false;
};

/// Reported as the age of the confirmation if there was none.
inline constexpr Duration kNeverConfirmed = std::chrono::hours(7 * 24);

/// Manifest status that a daemon reports to its peers.
struct ManifestStatus {
  /// 0 if no manifest is in force.
  std::uint64_t generation = 0;
  std::string root;
  /// Upper bound on the time since the store last confirmed `generation`.
  Duration confirmed_ago = kNeverConfirmed;
};

/// Keeps the daemon's manifest up to date.
///
/// A few daemons, the watchers, watch the store. All others learn of a new head
/// from peers and fetch the changed parts from these peers; they read the store
/// only if no peer can supply them. The generation never decreases. Reads no
/// clock and does no I/O.
class ManifestFollower {
 public:
  ManifestFollower(FollowerOptions options, std::uint64_t seed, TimePoint now);

  /// Sets whether this daemon is a watcher, and the fleet size.
  FollowerActions OnFleetChange(bool is_watcher,
                                std::size_t members,
                                TimePoint now);
  FollowerActions OnTick(TimePoint now);
  /// Handles a peer's status. `requested_at` is the time of this daemon's
  /// message if the status is a response to it, otherwise empty.
  FollowerActions OnPeerStatus(const Endpoint& peer,
                               const ManifestStatus& status,
                               std::optional<TimePoint> requested_at,
                               TimePoint now);
  FollowerActions OnPeerParts(
      std::uint64_t fetch,
      const std::optional<std::vector<std::string>>& parts,
      TimePoint now);
  FollowerActions OnStoreHead(const StoreRead& read,
                              TimePoint requested_at,
                              TimePoint now);
  FollowerActions OnStorePart(std::uint64_t fetch,
                              const std::string& hash,
                              const StoreRead& read,
                              TimePoint now);
  FollowerActions OnWatchChange(const StoreValue& value, TimePoint now);
  FollowerActions OnWatchEnd(TimePoint now);
  /// Handles a pause of this process: its state may be stale until refreshed.
  FollowerActions OnPause(TimePoint now);

  ManifestStatus Status(TimePoint now) const;
  /// Null before the first manifest.
  std::shared_ptr<const AssembledManifest> Manifest() const {
    return m_manifest;
  }
  bool IsConfirmed(TimePoint now) const;
  /// True from a start or a pause until the highest generation reported since
  /// is in force (or its head is invalid) and the store or enough peers have
  /// responded or `refresh_limit` has passed. False only with a manifest in
  /// force.
  bool IsRefreshing() const { return m_refresh.has_value(); }
  /// Contents of up to 100 of the requested parts; empty for parts that are
  /// missing here or follow once the reply has reached its size limit.
  std::vector<std::string> Parts(const std::vector<std::string>& hashes) const;

  bool IsWatcher() const { return m_is_watcher; }
  /// Why the last head could not be put in force; empty if it was.
  const std::string& Problem() const { return m_problem; }
  std::size_t PartBytes() const;

 private:
  /// A head that is newer than the one in force.
  struct Target {
    std::uint64_t generation = 0;
    std::string root;
    /// Time at which the store confirmed this head, if known.
    std::optional<TimePoint> confirmed_at;
    /// Peers that have it in force, in the order in which they are asked.
    std::deque<Endpoint> sources;
    /// The outstanding fetch; 0 if none.
    std::uint64_t fetch = 0;
    std::vector<std::string> hashes;
    std::size_t reads_left = 0;
    /// Whether parts may be read from the store before `fallback_at`.
    bool may_read_store = false;
    TimePoint fallback_at;
  };
  struct Refresh {
    TimePoint since;
    std::set<Endpoint> peers;
    std::uint64_t highest = 0;
    bool has_store_answer = false;
  };

  void UpdateTarget(std::uint64_t generation,
                    const std::string& root,
                    const std::optional<Endpoint>& source,
                    std::optional<TimePoint> confirmed_at,
                    TimePoint now,
                    FollowerActions& actions);
  void HandleStoreHead(const StoreValue& value,
                       TimePoint requested_at,
                       TimePoint now,
                       FollowerActions& actions);
  bool NeedsPoll(TimePoint now) const;
  void AdvanceTarget(TimePoint now, FollowerActions& actions);
  void FetchFrom(const Endpoint& peer,
                 std::vector<std::string> missing,
                 FollowerActions& actions);
  void ReadFromStore(const std::vector<std::string>& missing,
                     FollowerActions& actions);
  void Install(std::shared_ptr<const AssembledManifest> manifest,
               FollowerActions& actions);
  void RemoveUnusedParts();
  void AddPart(const std::string& hash, const std::string& content);
  void Confirm(TimePoint at);
  void CheckRefresh(TimePoint now);
  Duration FallbackDelay();

  FollowerOptions m_options;
  std::mt19937_64 m_random;
  bool m_is_watcher = false;
  std::size_t m_members = 1;
  PartMap m_parts;
  ManifestAssembler m_assembler;
  /// Parts of the previous manifest, which slower peers may still request.
  std::vector<std::string> m_previous_hashes;
  std::uint64_t m_generation = 0;
  std::string m_root;
  std::shared_ptr<const AssembledManifest> m_manifest;
  std::optional<TimePoint> m_confirmed_at;
  std::optional<Target> m_target;
  /// Root of the last manifest that was invalid.
  std::string m_invalid_root;
  std::string m_problem;
  std::optional<Refresh> m_refresh;
  std::uint64_t m_next_fetch = 1;
  bool m_is_reading_head = false;
  bool m_is_watching = false;
  std::optional<TimePoint> m_next_poll;
};

}  // namespace bramleyspoke
