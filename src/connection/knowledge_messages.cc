#include "connection/knowledge_messages.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "connection/peer_messages.h"

namespace bramleyspoke {
namespace {

std::string ToStd(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void WriteLeaf(const LeafRegistration& leaf, wire::Leaf::Builder builder) {
  builder.setId(leaf.id);
  builder.setStartedAtMs(leaf.started_at_ms);
  builder.setService(leaf.service);
  builder.setAddress(ToString(leaf.address));
  builder.setFailureDomain(leaf.failure_domain);
  builder.setSlots(leaf.slots);
  builder.setIsDraining(leaf.is_draining);
  builder.setColdRemainingMs(
      static_cast<std::uint32_t>(ToMilliseconds(leaf.cold_remaining)));
}

std::optional<LeafRegistration> ReadLeaf(wire::Leaf::Reader reader) {
  const auto address = ParseEndpoint(ToStd(reader.getAddress()));
  if (!address) {
    return std::nullopt;
  }
  LeafRegistration leaf;
  leaf.id = ToStd(reader.getId());
  leaf.started_at_ms = reader.getStartedAtMs();
  leaf.service = ToStd(reader.getService());
  leaf.address = *address;
  leaf.failure_domain = ToStd(reader.getFailureDomain());
  leaf.slots = std::max(reader.getSlots(), 1U);
  leaf.is_draining = reader.getIsDraining();
  leaf.cold_remaining = std::chrono::milliseconds(reader.getColdRemainingMs());
  return leaf;
}

void WriteDaemon(const KeyedDaemon& keyed, wire::Daemon::Builder builder) {
  builder.setKey(keyed.key);
  builder.setAddress(ToString(keyed.daemon.address));
  builder.setPeer(ToString(keyed.daemon.peer));
  builder.setFailureDomain(keyed.daemon.failure_domain);
  builder.setRegion(keyed.daemon.region);
  builder.setProcessor(keyed.daemon.processor);
  builder.setIsCutOff(keyed.daemon.is_cut_off);
}

std::optional<KeyedDaemon> ReadDaemon(wire::Daemon::Reader reader) {
  const auto address = ParseEndpoint(ToStd(reader.getAddress()));
  const auto peer = ParseEndpoint(ToStd(reader.getPeer()));
  if (!address || !peer) {
    return std::nullopt;
  }
  KeyedDaemon keyed;
  keyed.key = ToStd(reader.getKey());
  keyed.daemon.address = *address;
  keyed.daemon.peer = *peer;
  keyed.daemon.failure_domain = ToStd(reader.getFailureDomain());
  keyed.daemon.region = ToStd(reader.getRegion());
  keyed.daemon.processor = reader.getProcessor();
  keyed.daemon.is_cut_off = reader.getIsCutOff();
  return keyed;
}

wire::WatchEnd ToWatchEnd(KeyValueStatus status) {
  switch (status) {
    case KeyValueStatus::kOk:
      return wire::WatchEnd::CHANGES;
    case KeyValueStatus::kHistoryGone:
      return wire::WatchEnd::UNKNOWN_REVISION;
    default:
      return wire::WatchEnd::INTERRUPTED;
  }
}

KeyValueStatus ToStatus(wire::WatchEnd end) {
  switch (end) {
    case wire::WatchEnd::CHANGES:
      return KeyValueStatus::kOk;
    case wire::WatchEnd::UNKNOWN_REVISION:
      return KeyValueStatus::kHistoryGone;
    default:
      return KeyValueStatus::kRefused;
  }
}

}  // namespace

void WriteKnowledge(const StoreKnowledge& knowledge,
                    wire::Knowledge::Builder builder) {
  builder.setRoutes(AsData(knowledge.routes));
  auto leafs = builder.initLeafs(knowledge.leafs.size());
  for (unsigned i = 0; i < leafs.size(); ++i) {
    WriteLeaf(knowledge.leafs[i], leafs[i]);
  }
  auto daemons = builder.initDaemons(knowledge.daemons.size());
  for (unsigned i = 0; i < daemons.size(); ++i) {
    WriteDaemon(knowledge.daemons[i], daemons[i]);
  }
  auto suspects = builder.initSuspects(knowledge.suspects.size());
  for (unsigned i = 0; i < suspects.size(); ++i) {
    suspects[i].setContent(knowledge.suspects[i].content);
    suspects[i].setService(knowledge.suspects[i].service);
  }
}

StoreKnowledge ReadKnowledge(wire::Knowledge::Reader reader) {
  StoreKnowledge knowledge;
  knowledge.routes = FromData(reader.getRoutes());
  for (const auto row : reader.getLeafs()) {
    if (auto leaf = ReadLeaf(row)) {
      knowledge.leafs.push_back(std::move(*leaf));
    }
  }
  for (const auto row : reader.getDaemons()) {
    if (auto daemon = ReadDaemon(row)) {
      knowledge.daemons.push_back(std::move(*daemon));
    }
  }
  for (const auto row : reader.getSuspects()) {
    knowledge.suspects.push_back({row.getContent(), ToStd(row.getService())});
  }
  return knowledge;
}

void WriteChanges(const KeyValueChanges& changes,
                  wire::StoreChanges::Builder builder) {
  builder.setEnd(ToWatchEnd(changes.status));
  builder.setRevision(changes.revision);
  builder.setHasMore(changes.has_more);
  auto events =
      builder.initEvents(static_cast<unsigned>(changes.events.size()));
  for (unsigned i = 0; i < events.size(); ++i) {
    const KeyValueEvent& event = changes.events[i];
    events[i].setKey(event.key);
    events[i].setIsRemoved(!event.value);
    if (event.value) {
      events[i].setValue(AsData(*event.value));
    }
  }
}

KeyValueChanges ReadChanges(wire::StoreChanges::Reader reader) {
  KeyValueChanges changes;
  changes.status = ToStatus(reader.getEnd());
  changes.revision = reader.getRevision();
  changes.has_more = reader.getHasMore();
  for (const auto event : reader.getEvents()) {
    KeyValueEvent change{ToStd(event.getKey()), std::nullopt};
    if (!event.getIsRemoved()) {
      change.value = FromData(event.getValue());
    }
    changes.events.push_back(std::move(change));
  }
  return changes;
}

}  // namespace bramleyspoke
