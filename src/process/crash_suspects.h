#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "process/crash_suspect_writer.h"
#include "process/store_schema.h"

namespace bramleyspoke {

class EventLoop;
class KeyValueStore;
class Timer;

/// Requests that daemons found to crash leafs, as known here and in the store.
///
/// Used on the loop's thread only.
class CrashSuspects {
 public:
  /// Time over which all daemons spread the writes of entries that the store
  /// has lost.
  static constexpr std::chrono::milliseconds kRewriteSpread{2000};

  /// `own_key` is this daemon's key in the store. `on_suspect` is called for
  /// each request that another daemon found.
  CrashSuspects(EventLoop& loop,
                KeyValueStore& store,
                const StoreSchema& schema,
                const std::string& own_key,
                std::function<void(const CrashSuspect&)> on_suspect);

  /// Keeps a request that this daemon found, and writes it to the store.
  void Add(const CrashSuspect& suspect);
  /// Keeps a request that a peer knows.
  void AddFromPeer(const CrashSuspect& suspect);
  /// Applies an entry read from the store.
  void ApplyEntry(const std::string& key, const std::string& value);
  void RemoveEntry(const std::string& key);
  /// The store was replaced by an older copy of itself.
  void OnNewEra();
  /// Writes the entries that the store lacks; called after a read in a new era.
  void RewriteMissing();

  std::vector<CrashSuspect> Values() const;

 private:
  struct Kept {
    CrashSuspect suspect;
    TimePoint expires_at;
  };

  /// Returns whether the suspect is new.
  bool Keep(const std::string& key, const CrashSuspect& suspect);

  EventLoop& m_loop;
  const StoreSchema& m_schema;
  /// This daemon's part of the spread.
  const Duration m_rewrite_delay;
  std::function<void(const CrashSuspect&)> m_on_suspect;
  CrashSuspectWriter m_writer;
  /// By key.
  std::map<std::string, Kept> m_suspects;
  std::unique_ptr<Timer> m_rewrite_timer;
};

}  // namespace bramleyspoke
