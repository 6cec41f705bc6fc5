#include "process/leaf_entries.h"

#include "base/problems.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

// Limit on the log lines about changed leafs.
constexpr std::uint32_t kMaxLinesPerSecond = 5;

// Whether the registrations are equal apart from `cold_remaining`, which
// changes often.
bool IsSameLeaf(std::optional<LeafRegistration> before,
                std::optional<LeafRegistration> after) {
  if (before && after) {
    before->cold_remaining = after->cold_remaining;
  }
  return before == after;
}

}  // namespace

LeafEntries::LeafEntries(const StoreSchema& schema)
    : m_schema(schema), m_log_sampler(kMaxLinesPerSecond) {}

bool LeafEntries::Apply(const std::string& name,
                        const std::string& value,
                        bool may_be_outdated) {
  const auto read = Check([&] { return m_schema.ReadLeaf(name, value); });
  if (!read.value) {
    WriteLog(LogLevel::kWarning, "leaf_refused",
             {Field("leaf", name), Field("problems", ToString(read.problems))});
    return false;
  }
  LeafRegistration leaf = *read.value;
  const LeafRegistration* known = m_registry.Find(name);
  if (known != nullptr && may_be_outdated &&
      known->started_at_ms == leaf.started_at_ms) {
    leaf.is_draining = leaf.is_draining || known->is_draining;
  }
  m_registry.Put(name, leaf);
  return true;
}

void LeafEntries::ApplyChange(const std::string& name,
                              const std::optional<std::string>& value,
                              bool may_be_outdated,
                              TimePoint now) {
  const std::optional<LeafRegistration> before = Find(name);
  std::optional<LeafRegistration> after;
  if (value && Apply(name, *value, may_be_outdated)) {
    after = Find(name);
  } else {
    m_registry.Remove(name, now);
  }
  if (!IsSameLeaf(before, after)) {
    WriteLine(name, after, now);
  }
}

void LeafEntries::AddFromPeer(const LeafRegistration& leaf) {
  m_registry.Put(leaf.id, leaf);
}

std::optional<LeafRegistration> LeafEntries::Find(
    const std::string& name) const {
  const LeafRegistration* leaf = m_registry.Find(name);
  return leaf == nullptr ? std::nullopt : std::optional(*leaf);
}

void LeafEntries::WriteLine(const std::string& name,
                            const std::optional<LeafRegistration>& leaf,
                            TimePoint now) {
  if (!m_log_sampler.Admit(name, LogPriority::kOther, now)) {
    return;
  }
  if (!leaf) {
    WriteLog(LogLevel::kInfo, "leaf_removed", {Field("leaf", name)});
    return;
  }
  WriteLog(LogLevel::kInfo, "leaf_registered",
           {Field("leaf", name), Field("service", leaf->service),
            Field("address", ToString(leaf->address)),
            Field("draining", leaf->is_draining),
            Field("started_at_ms", leaf->started_at_ms)});
}

}  // namespace bramleyspoke
