#include "stand_in/leaf_config.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>

namespace bramleyspoke::StandIn {
namespace {

namespace json = boost::json;

// The settings come from the project's own scripts and tests only: a value of
// the wrong type throws, and ParseBackendServerConfig reports one problem.
template <typename T>
void Read(const json::object& object, std::string_view key, T& field) {
  if (const json::value* value = object.if_contains(key)) {
    field = value->to_number<T>();
  }
}

void ReadTime(const json::object& object,
              std::string_view key,
              Duration& field) {
  if (const json::value* value = object.if_contains(key)) {
    field = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(value->to_number<double>()));
  }
}

Result<Endpoint> ReadEndpoint(const json::object& object,
                              std::string_view key) {
  const std::string text(object.at(key).as_string());
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    return Fail(std::string(key), "an IP address and a port");
  }
  return *endpoint;
}

std::vector<IndexVersion> ReadVersions(const json::object& object) {
  std::vector<IndexVersion> versions;
  for (const json::value& item : object.at("versions").as_array()) {
    const json::object& version = item.as_object();
    versions.push_back({version.at("version").to_number<std::uint64_t>(),
                        std::string(version.at("layout").as_string())});
  }
  return versions;
}

Result<LeafConfig> ReadLeaf(const json::object& object) {
  LeafConfig leaf;
  BOOST_LEAF_ASSIGN(leaf.listen, ReadEndpoint(object, "listen"));
  leaf.service = std::string(object.at("service").as_string());
  leaf.shards = json::value_to<std::vector<std::uint32_t>>(object.at("shards"));
  leaf.versions = ReadVersions(object);
  Read(object, "slots", leaf.slots);
  Read(object, "queue", leaf.queue);
  Read(object, "connections", leaf.connections);
  Read(object, "hits", leaf.hits);
  Read(object, "jitter", leaf.jitter);
  Read(object, "tail_share", leaf.tail_share);
  Read(object, "tail_factor", leaf.tail_factor);
  Read(object, "cold_factor", leaf.cold_factor);
  Read(object, "seed", leaf.seed);
  ReadTime(object, "new_connection_ms", leaf.new_connection);
  ReadTime(object, "service_ms", leaf.service_time);
  ReadTime(object, "latency_ms", leaf.latency);
  ReadTime(object, "cold_ms", leaf.cold_time);
  ReadTime(object, "status_lag_ms", leaf.status_lag);
  return leaf;
}

Result<BackendServerConfig> ReadConfig(const json::value& parsed) {
  const json::object& object = parsed.as_object();
  BackendServerConfig config;
  BOOST_LEAF_ASSIGN(config.control, ReadEndpoint(object, "control"));
  for (const json::value& item : object.at("leafs").as_array()) {
    BOOST_LEAF_AUTO(leaf, ReadLeaf(item.as_object()));
    config.leafs.push_back(std::move(leaf));
  }
  return config;
}

}  // namespace

bool LeafConfig::Serves(const Attempt& attempt) const {
  const bool has_version = std::find(versions.begin(), versions.end(),
                                     attempt.version) != versions.end();
  const bool has_shard =
      std::find(shards.begin(), shards.end(), attempt.shard) != shards.end();
  return attempt.service == service && has_version && has_shard;
}

Result<BackendServerConfig> ParseBackendServerConfig(std::string_view text) {
  try {
    json::parse_options options;
    options.allow_comments = true;
    return ReadConfig(json::parse({text.data(), text.size()}, {}, options));
  } catch (const std::exception& error) {
    return Fail("", error.what());
  }
}

}  // namespace bramleyspoke::StandIn
