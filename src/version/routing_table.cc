#include "version/routing_table.h"

namespace bramleyspoke {

std::set<Endpoint> LeafsOf(const ServiceRoute& route) {
  std::set<Endpoint> leafs;
  for (const Layout& layout : route.spec.layouts) {
    for (const Shard& shard : layout.shards) {
      for (const Replica& replica : shard.replicas) {
        leafs.insert(replica.leaf);
      }
    }
  }
  return leafs;
}

}  // namespace bramleyspoke
