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
  /// How often a watcher reads the head, besides its watch.
  Duration poll_interval = std::chrono::seconds(5);
  /// A head that no peer could give is fetched from the store after this...
  Duration fallback_delay = std::chrono::seconds(1);
  /// ... and a random time of up to this for each member, so that the whole
  /// fleet's fallback doesn't flood the store.
  Duration fallback_spread = std::chrono::milliseconds(10);
  /// Without confirmation by the store for longer, a generation is unconfirmed.
  Duration confirmation_limit = std::chrono::seconds(60);
  /// A refresh that finds neither store nor peers ends after this.
  Duration refresh_limit = std::chrono::seconds(10);
  /// Peers whose generation is asked when the store can't say.
  std::size_t refresh_peers = 3;
};

/// Asks `peer` for parts; the outcome goes to `OnPeerParts`.
struct FetchAction {
  std::uint64_t fetch = 0;
  Endpoint peer;
  std::vector<std::string> hashes;
};

/// Reads a part from the store; the outcome goes to `OnStorePart`.
struct ReadPartAction {
  std::uint64_t fetch = 0;
  std::string hash;
};

/// Watches the head from `revision` on, in place of any earlier watch.
struct WatchAction {
  std::int64_t revision = 0;
};

struct FollowerActions {
  std::vector<FetchAction> fetches;
  std::vector<ReadPartAction> reads;
  /// Read the head; the outcome goes to `OnStoreHead`.
  bool read_head = false;
  std::optional<WatchAction> watch;
  bool stop_watch = false;
  /// A new manifest is in force: rebuild the routing table, tell random peers.
  bool is_changed = false;
};

/// Stands for a confirmation that never was.
inline constexpr Duration kNeverConfirmed = std::chrono::hours(7 * 24);

/// What a daemon says of its manifest.
struct ManifestStatus {
  /// 0: none is in force.
  std::uint64_t generation = 0;
  std::string root;
  /// How long ago the store confirmed `generation`, at the latest.
  Duration confirmed_ago = kNeverConfirmed;
};

/// Keeps the daemon's manifest up to date.
///
/// A few daemons watch the store; all others learn of a new head from peers and
/// fetch the changed parts from whoever told them. The store is asked by others
/// only when no peer could help. A generation never goes back. Pure: reads no
/// clock and no socket.
class ManifestFollower {
 public:
  ManifestFollower(FollowerOptions options, std::uint64_t seed, TimePoint now);

  /// Whether this daemon is one of the few that watch, and the fleet's size.
  FollowerActions OnFleet(bool is_watcher, std::size_t members, TimePoint now);
  FollowerActions OnTick(TimePoint now);
  /// What a peer says; `asked_at` is set for an answer to our own message.
  FollowerActions OnPeerStatus(const Endpoint& peer,
                               const ManifestStatus& status,
                               std::optional<TimePoint> asked_at,
                               TimePoint now);
  FollowerActions OnPeerParts(
      std::uint64_t fetch,
      const std::optional<std::vector<std::string>>& parts,
      TimePoint now);
  FollowerActions OnStoreHead(const StoreRead& read,
                              TimePoint asked_at,
                              TimePoint now);
  FollowerActions OnStorePart(std::uint64_t fetch,
                              const std::string& hash,
                              const StoreRead& read,
                              TimePoint now);
  FollowerActions OnWatchChange(const StoreValue& value, TimePoint now);
  FollowerActions OnWatchEnd(TimePoint now);
  /// This process was paused: nothing it knows is fresh.
  FollowerActions OnPause(TimePoint now);

  ManifestStatus Status(TimePoint now) const;
  /// Empty before the first manifest.
  std::shared_ptr<const AssembledManifest> Manifest() const {
    return m_manifest;
  }
  bool IsConfirmed(TimePoint now) const;
  /// True from a start or pause until store or peers said what is in force.
  bool IsRefreshing() const { return m_refresh.has_value(); }
  /// Contents of the asked parts; those that are not here are empty.
  std::vector<std::string> Parts(const std::vector<std::string>& hashes) const;

  bool IsWatcher() const { return m_is_watcher; }
  /// Why the last head could not be put in force; empty if it could.
  const std::string& Fault() const { return m_fault; }
  std::size_t PartBytes() const;

 private:
  /// A head that is newer than the one in force.
  struct Target {
    std::uint64_t generation = 0;
    std::string root;
    /// Confirmed by the store at this time, if known.
    std::optional<TimePoint> confirmed_at;
    /// Peers that have it in force, best first.
    std::deque<Endpoint> sources;
    /// The fetch under way; 0: none.
    std::uint64_t fetch = 0;
    std::vector<std::string> hashes;
    std::size_t reads_left = 0;
    /// Whether the store may be asked before `fallback_at`.
    bool may_ask_store = false;
    TimePoint fallback_at;
  };
  struct Refresh {
    TimePoint since;
    std::set<Endpoint> peers;
    std::uint64_t highest = 0;
    bool has_store_word = false;
  };

  void TakeHead(std::uint64_t generation,
                const std::string& root,
                const std::optional<Endpoint>& source,
                std::optional<TimePoint> confirmed_at,
                TimePoint now,
                FollowerActions& actions);
  void TakeHeadValue(const StoreValue& value,
                     TimePoint asked_at,
                     TimePoint now,
                     FollowerActions& actions);
  bool NeedsPoll(TimePoint now) const;
  void Continue(TimePoint now, FollowerActions& actions);
  void FetchFrom(const Endpoint& peer,
                 std::vector<std::string> missing,
                 FollowerActions& actions);
  void ReadFromStore(const std::vector<std::string>& missing,
                     FollowerActions& actions);
  void Install(std::shared_ptr<const AssembledManifest> manifest,
               FollowerActions& actions);
  void DropUnusedParts();
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
  /// Parts of the manifest before, which slower peers may still ask for.
  std::vector<std::string> m_last_hashes;
  std::uint64_t m_generation = 0;
  std::string m_root;
  std::shared_ptr<const AssembledManifest> m_manifest;
  std::optional<TimePoint> m_confirmed_at;
  std::optional<Target> m_target;
  /// Root of a manifest that could not be used.
  std::string m_bad_root;
  std::string m_fault;
  std::optional<Refresh> m_refresh;
  std::uint64_t m_next_fetch = 1;
  bool m_is_reading_head = false;
  bool m_is_watching = false;
  std::optional<TimePoint> m_next_poll;
};

}  // namespace bramleyspoke
