#include "version/manifest_leafs.h"

namespace bramleyspoke {

void ForEachReplica(const ServiceSpec& spec,
                    const std::function<void(const Replica&)>& visit) {
  for (const Layout& layout : spec.layouts) {
    for (const Shard& shard : layout.shards) {
      for (const Replica& replica : shard.replicas) {
        visit(replica);
      }
    }
  }
}

bool HasLeaf(const ServiceSpec& spec, const Endpoint& leaf) {
  bool is_found = false;
  ForEachReplica(spec, [&](const Replica& replica) {
    is_found = is_found || replica.leaf == leaf;
  });
  return is_found;
}

}  // namespace bramleyspoke
