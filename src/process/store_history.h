#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "connection/key_value_store.h"

namespace bramleyspoke {

/// The store's recent changes, for peers that watch the store through this
/// daemon.
class StoreHistory {
 public:
  /// Changes beyond this are dropped, the oldest first.
  static constexpr std::size_t kMaxBytes = std::size_t{2} * 1024 * 1024;
  /// Size from which a response is full. It has at least the changes of one
  /// response of the store.
  static constexpr std::size_t kFullResponseBytes = std::size_t{128} * 1024;

  /// Adds the response to a watch from `after`. Changes from before a gap are
  /// dropped.
  void Append(std::int64_t after, const KeyValueChanges& changes);
  void Clear();
  /// Changes after `revision`; empty if the history does not reach back so far,
  /// or not yet so far.
  std::optional<KeyValueChanges> Since(std::int64_t revision) const;
  /// Revision up to which changes are known; 0 if none are.
  std::int64_t Revision() const { return m_end; }

 private:
  struct Batch {
    std::int64_t revision = 0;
    std::size_t bytes = 0;
    std::vector<KeyValueEvent> events;
  };

  void DropOldest();

  std::deque<Batch> m_batches;
  std::size_t m_bytes = 0;
  /// The batches have the changes after `m_begin` up to `m_end`.
  std::int64_t m_begin = 0;
  std::int64_t m_end = 0;
};

}  // namespace bramleyspoke
