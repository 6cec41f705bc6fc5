#include "repartition.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <vector>

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

std::string ShardsValue(std::uint32_t shard, std::uint32_t shards) {
  return json::serialize(json::array{shard, shard + shards});
}

std::string VersionsValue(const std::vector<IndexVersion>& versions) {
  json::array values;
  for (const IndexVersion& version : versions) {
    values.push_back(
        json::object{{"version", version.number}, {"layout", version.layout}});
  }
  return json::serialize(values);
}

}  // namespace

Layout SplitInTwo(const Layout& layout, std::string id) {
  Layout split{std::move(id), layout.shards};
  const auto count = static_cast<std::uint32_t>(layout.shards.size());
  for (Shard shard : layout.shards) {
    shard.id += count;
    split.shards.push_back(std::move(shard));
  }
  return split;
}

void MoveToLayout(Fleet& fleet,
                  std::string_view service,
                  const IndexVersion& version,
                  const std::function<void()>& pause) {
  const auto& services = fleet.Plan().services;
  const IndexVersion old_version = fleet.Plan().version;
  for (const auto& versions :
       {std::vector{old_version, version}, std::vector{version}}) {
    for (const LeafPlan& leaf : fleet.Leafs()) {
      if (services[leaf.service].name != service) {
        continue;
      }
      const std::string name = ToString(leaf.address);
      fleet.InjectLeafFault(
          name, "set_shards",
          ShardsValue(leaf.shard, services[leaf.service].shards));
      fleet.InjectLeafFault(name, "set_versions", VersionsValue(versions));
      pause();
    }
  }
}

}  // namespace bramleyspoke::Harness
