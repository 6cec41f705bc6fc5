#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "process/log_sampler.h"
#include "process/store_schema.h"
#include "version/entry_registry.h"
#include "version/leaf_registration.h"

namespace bramleyspoke {

/// The leafs that are registered in the store, by name; writes a log line for
/// each that changes. Reads no clock.
class LeafEntries {
 public:
  explicit LeafEntries(const StoreSchema& schema);

  /// Reads an entry as stored; returns false if it is not valid. If it may be
  /// outdated, a leaf that is known to be draining stays so.
  bool Apply(const std::string& name,
             const std::string& value,
             bool may_be_outdated);
  /// Applies a change of an entry; no value means that it was removed.
  void ApplyChange(const std::string& name,
                   const std::optional<std::string>& value,
                   bool may_be_outdated,
                   TimePoint now);
  /// Adds or replaces a leaf that a peer knows.
  void AddFromPeer(const LeafRegistration& leaf);

  EntryRegistry<LeafRegistration>& Registry() { return m_registry; }
  const EntryRegistry<LeafRegistration>& Registry() const { return m_registry; }

 private:
  std::optional<LeafRegistration> Find(const std::string& name) const;
  void WriteLine(const std::string& name,
                 const std::optional<LeafRegistration>& leaf,
                 TimePoint now);

  const StoreSchema& m_schema;
  EntryRegistry<LeafRegistration> m_registry;
  LogSampler m_log_sampler;
};

}  // namespace bramleyspoke
