#include "version/manifest.h"

#include <map>
#include <set>

#include "base/enum_names.h"
#include "base/json_reader.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<ServiceClass, 3> kClassNames{{{
    {ServiceClass::kUrgent, "urgent"},
    {ServiceClass::kInteractive, "interactive"},
    {ServiceClass::kBatch, "batch"},
}}};

constexpr NumberRange kShardIds{0, UINT32_MAX, ""};
constexpr NumberRange kSlots{1, 1024, "concurrent requests"};
constexpr NumberRange kConnections{2, 65'535, "connections"};
constexpr NumberRange kHolders{1, 64, "daemons"};
constexpr NumberRange kMaxHits{1, 10'000, "hits"};
constexpr NumberRange kMaxAnswerBytes{1'024, 1 << 24, "bytes"};
constexpr NumberRange kDeadline{1, 60'000, "ms"};
constexpr NumberRange kExtraLoad{0, 100, "per cent"};
constexpr NumberRange kCallerInFlight{1, 100'000, "requests"};

/// Minimum number of a leaf's connections per holder: one for the holder, and a
/// second one while its replacement on the same VM is already running.
/// `HolderSetSize` also counts slots and may allow fewer holders.
constexpr std::uint32_t kConnectionsPerHolder = 2;

Replica ReadReplica(JsonReader& object) {
  Replica replica;
  replica.leaf = object.Address("leaf");
  replica.failure_domain = object.Name("failure_domain");
  replica.region = object.Name("region");
  return replica;
}

Shard ReadShard(JsonReader& object) {
  Shard shard;
  shard.id = object.Integer("id", kShardIds);
  std::set<Endpoint> leafs;
  object.Objects("replicas", 1, [&](JsonReader& item) {
    shard.replicas.push_back(ReadReplica(item));
    const Endpoint& leaf = shard.replicas.back().leaf;
    if (leaf.port != 0 && !leafs.insert(leaf).second) {
      item.Report("leaf",
                  "leaf that is unique among the replicas of this shard");
    }
  });
  return shard;
}

Layout ReadLayout(JsonReader& object) {
  Layout layout;
  layout.id = object.Name("id");
  std::set<std::uint32_t> ids;
  object.Objects("shards", 1, [&](JsonReader& item) {
    layout.shards.push_back(ReadShard(item));
    if (!ids.insert(layout.shards.back().id).second) {
      item.Report("id", "shard id that is unique in this layout");
    }
  });
  return layout;
}

void ReadLimits(JsonReader& object, ServiceSpec& spec) {
  spec.slots = object.Integer("slots", kSlots);
  spec.connections = object.Integer("connections", kConnections);
  spec.holders = object.Integer("holders", kHolders, spec.holders);
  spec.max_hits = object.Integer("max_hits", kMaxHits, spec.max_hits);
  spec.max_answer_bytes = object.Integer("max_answer_bytes", kMaxAnswerBytes,
                                         spec.max_answer_bytes);
  spec.default_deadline = object.Milliseconds("default_deadline_ms", kDeadline,
                                              spec.default_deadline);
  spec.extra_load_percent =
      object.Real("extra_load_percent", kExtraLoad, spec.extra_load_percent);
  const std::uint32_t max_holders = spec.connections / kConnectionsPerHolder;
  if (max_holders > 0 && spec.holders > max_holders) {
    object.Report("holders", "at most " + std::to_string(max_holders) +
                                 " daemons: each needs " +
                                 std::to_string(kConnectionsPerHolder) +
                                 " of a leaf's connections");
  }
}

ServiceSpec ReadService(JsonReader& object) {
  ServiceSpec spec;
  spec.name = object.Name("name");
  spec.service_class = object.Choice("class", kClassNames);
  spec.idempotent = object.Flag("idempotent");
  ReadLimits(object, spec);
  std::set<std::string> ids;
  object.Objects("layouts", 1, [&](JsonReader& item) {
    spec.layouts.push_back(ReadLayout(item));
    if (!ids.insert(spec.layouts.back().id).second) {
      item.Report("id", "layout id that is unique in this service");
    }
  });
  return spec;
}

CallerSpec ReadCaller(JsonReader& object) {
  CallerSpec caller;
  caller.name = object.Name("name");
  caller.max_in_flight = object.Integer("max_in_flight", kCallerInFlight);
  return caller;
}

// Slots and connections are counted per service, so those of a leaf in two
// services would be allocated twice.
class LeafOwners {
 public:
  void Check(const ServiceSpec& spec, JsonReader& object) {
    std::set<std::string> reported_owners;
    for (const Layout& layout : spec.layouts) {
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          const auto [owner, is_new] =
              m_owners.emplace(replica.leaf, spec.name);
          if (!is_new && owner->second != spec.name && replica.leaf.port != 0 &&
              reported_owners.insert(owner->second).second) {
            object.Report("layouts", "leafs that belong to no other service (" +
                                         ToString(replica.leaf) +
                                         " belongs to " + owner->second + ")");
          }
        }
      }
    }
  }

 private:
  std::map<Endpoint, std::string> m_owners;
};

void ReadServices(JsonReader& object, Manifest& manifest) {
  std::set<std::string> names;
  LeafOwners owners;
  object.Objects("services", 1, [&](JsonReader& item) {
    manifest.services.push_back(ReadService(item));
    const ServiceSpec& spec = manifest.services.back();
    if (!spec.name.empty() && !names.insert(spec.name).second) {
      item.Report("name", "service name that is unique in the manifest");
    }
    owners.Check(spec, item);
  });
}

void ReadCallers(JsonReader& object, Manifest& manifest) {
  std::set<std::string> names;
  object.Objects("callers", 0, [&](JsonReader& item) {
    manifest.callers.push_back(ReadCaller(item));
    const std::string& name = manifest.callers.back().name;
    if (!name.empty() && !names.insert(name).second) {
      item.Report("name", "caller name that is unique in the manifest");
    }
  });
}

}  // namespace

std::string_view ToString(ServiceClass service_class) {
  return kClassNames.NameOf(service_class);
}

const ServiceSpec* Manifest::Find(std::string_view service) const {
  for (const ServiceSpec& spec : services) {
    if (spec.name == service) {
      return &spec;
    }
  }
  return nullptr;
}

Result<Manifest> ParseManifest(std::string_view json) {
  Manifest manifest;
  auto read = ReadJson(json, [&](JsonReader& object) {
    ReadServices(object, manifest);
    ReadCallers(object, manifest);
    manifest.leaving = object.Addresses("leaving", 0);
  });
  if (!read) {
    return read.error();
  }
  return manifest;
}

}  // namespace bramleyspoke
