#include "version/manifest_parts.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <utility>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRecordedPublishes = 64;
// With 730 services a group has about 23, so that root and group parts have
// about the same size.
constexpr std::size_t kGroupCount = 32;

std::size_t GroupOf(std::string_view service) {
  return XXH3_64bits(service.data(), service.size()) % kGroupCount;
}

std::string AddPart(std::string content, PartMap& parts) {
  std::string hash = PartHash(content);
  parts.emplace(hash, std::make_shared<const std::string>(std::move(content)));
  return hash;
}

std::string LimitsPart(const Manifest& manifest) {
  json::array callers;
  for (const CallerSpec& caller : manifest.callers) {
    callers.push_back(json::object{{"name", caller.name},
                                   {"max_in_flight", caller.max_in_flight}});
  }
  json::array leaving;
  for (const Endpoint& leaf : manifest.leaving) {
    leaving.push_back(json::string(ToString(leaf)));
  }
  return json::serialize(
      json::object{{"callers", callers}, {"leaving", leaving}});
}

// Applies `read` to the JSON object in `text`; empty if `text` is malformed,
// for which Boost.JSON's parser and typed access throw.
template <typename Read>
auto ParseObject(std::string_view text, Read read)
    -> std::optional<decltype(read(std::declval<const json::object&>()))> {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    return read(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string ToStd(const json::value& value) {
  const json::string& text = value.as_string();
  return {text.data(), text.size()};
}

std::vector<std::string> ReadStrings(const json::value& value) {
  std::vector<std::string> strings;
  for (const json::value& element : value.as_array()) {
    strings.push_back(ToStd(element));
  }
  return strings;
}

struct Root {
  std::vector<std::string> groups;
  std::string limits;
};

std::optional<Root> ParseRoot(std::string_view content) {
  return ParseObject(content, [](const json::object& object) {
    return Root{ReadStrings(object.at("groups")), ToStd(object.at("limits"))};
  });
}

std::optional<std::vector<std::string>> ParseGroup(std::string_view content) {
  return ParseObject(content, [](const json::object& object) {
    return ReadStrings(object.at("services"));
  });
}

struct Limits {
  std::vector<CallerSpec> callers;
  std::vector<Endpoint> leaving;
};

std::optional<Limits> ParseLimits(std::string_view content) {
  return ParseObject(content, [](const json::object& object) {
    Limits limits;
    for (const json::value& caller : object.at("callers").as_array()) {
      limits.callers.push_back(
          {ToStd(caller.at("name")),
           caller.at("max_in_flight").to_number<std::uint32_t>()});
    }
    for (const json::value& leaf : object.at("leaving").as_array()) {
      limits.leaving.push_back(ParseEndpoint(ToStd(leaf)).value());
    }
    return limits;
  });
}

std::shared_ptr<const ServiceSpec> ParseService(const std::string& content) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::shared_ptr<const ServiceSpec>> {
        BOOST_LEAF_AUTO(manifest, ParseManifest(content));
        if (manifest.services.size() != 1) {
          return std::shared_ptr<const ServiceSpec>();
        }
        return std::make_shared<const ServiceSpec>(
            std::move(manifest.services.front()));
      },
      [] { return std::shared_ptr<const ServiceSpec>(); });
}

// Walks the part tree from the root and collects the hashes of all parts and of
// the missing ones.
class TreeWalk {
 public:
  TreeWalk(const PartMap& parts, Assembly& assembly)
      : m_parts(parts), m_assembly(assembly) {}

  void Walk(const std::string& root) {
    const std::string* content = Find(root);
    if (content == nullptr) {
      return;
    }
    const std::optional<Root> parsed = ParseRoot(*content);
    if (!parsed) {
      m_assembly.problem = "malformed root part " + root;
      return;
    }
    limits = parsed->limits;
    Find(limits);
    for (const std::string& group : parsed->groups) {
      WalkGroup(group);
    }
  }

  std::string limits;
  std::vector<std::string> services;
  std::vector<std::string> hashes;

 private:
  void WalkGroup(const std::string& group) {
    const std::string* content = Find(group);
    if (content == nullptr) {
      return;
    }
    const auto parsed = ParseGroup(*content);
    if (!parsed) {
      m_assembly.problem = "malformed group part " + group;
      return;
    }
    for (const std::string& service : *parsed) {
      Find(service);
      services.push_back(service);
    }
  }

  const std::string* Find(const std::string& hash) {
    hashes.push_back(hash);
    const auto part = m_parts.find(hash);
    if (part == m_parts.end()) {
      m_assembly.missing.push_back(hash);
      return nullptr;
    }
    return part->second.get();
  }

  const PartMap& m_parts;
  Assembly& m_assembly;
};

}  // namespace

std::string PartKey(std::string_view hash) {
  return "bramleyspoke/parts/" + std::string(hash);
}

std::string PartHash(std::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

const PublishRecord* ManifestHead::Find(std::string_view publish_id) const {
  const auto found =
      std::find_if(publishes.begin(), publishes.end(),
                   [&](const auto& record) { return record.id == publish_id; });
  return found == publishes.end() ? nullptr : &*found;
}

ManifestHead ManifestHead::Next(std::string publish_id,
                                std::string new_root) const {
  ManifestHead next = *this;
  next.generation = generation + 1;
  next.root = new_root;
  next.publishes.push_back(
      {std::move(publish_id), next.generation, std::move(new_root)});
  if (next.publishes.size() > kMaxRecordedPublishes) {
    next.publishes.erase(next.publishes.begin());
  }
  return next;
}

std::string ToJson(const ManifestHead& head) {
  json::array publishes;
  for (const PublishRecord& record : head.publishes) {
    publishes.push_back(json::object{{"id", record.id},
                                     {"generation", record.generation},
                                     {"root", record.root}});
  }
  return json::serialize(json::object{{"generation", head.generation},
                                      {"root", head.root},
                                      {"publishes", publishes}});
}

std::optional<ManifestHead> ParseManifestHead(std::string_view text) {
  return ParseObject(text, [](const json::object& object) {
    ManifestHead head;
    head.generation = object.at("generation").to_number<std::uint64_t>();
    head.root = ToStd(object.at("root"));
    for (const json::value& record : object.at("publishes").as_array()) {
      head.publishes.push_back(
          {ToStd(record.at("id")),
           record.at("generation").to_number<std::uint64_t>(),
           ToStd(record.at("root"))});
    }
    return head;
  });
}

ManifestParts SplitManifest(const Manifest& manifest) {
  ManifestParts split;
  std::array<std::map<std::string, std::string>, kGroupCount> groups;
  for (const ServiceSpec& service : manifest.services) {
    Manifest single_service;
    single_service.services.push_back(service);
    groups[GroupOf(service.name)][service.name] =
        AddPart(ToJson(single_service), split.parts);
  }
  json::array group_hashes;
  for (const auto& group : groups) {
    json::array services;
    for (const auto& [name, hash] : group) {
      services.push_back(json::string(hash));
    }
    if (!services.empty()) {
      group_hashes.push_back(json::string(AddPart(
          json::serialize(json::object{{"services", services}}), split.parts)));
    }
  }
  const std::string limits = AddPart(LimitsPart(manifest), split.parts);
  split.root = AddPart(json::serialize(json::object{{"groups", group_hashes},
                                                    {"limits", limits}}),
                       split.parts);
  return split;
}

std::optional<std::vector<std::string>> ParsePartList(
    std::string_view content) {
  if (auto root = ParseRoot(content)) {
    root->groups.push_back(root->limits);
    return std::move(root->groups);
  }
  return ParseGroup(content);
}

Manifest AssembledManifest::ToManifest() const {
  Manifest manifest;
  for (const auto& [name, spec] : services) {
    manifest.services.push_back(*spec);
  }
  manifest.callers = callers;
  manifest.leaving = leaving;
  return manifest;
}

Assembly ManifestAssembler::Assemble(const std::string& root,
                                     const PartMap& parts) {
  Assembly assembly;
  TreeWalk walk(parts, assembly);
  walk.Walk(root);
  if (!assembly.missing.empty() || !assembly.problem.empty()) {
    return assembly;
  }
  auto manifest = std::make_shared<AssembledManifest>();
  SpecMap parsed;
  for (const std::string& hash : walk.services) {
    const auto parsed_before = m_parsed.find(hash);
    auto spec = parsed_before != m_parsed.end() ? parsed_before->second
                                                : ParseService(*parts.at(hash));
    if (!spec) {
      assembly.problem = "malformed service part " + hash;
      return assembly;
    }
    manifest->services[spec->name] = spec;
    parsed[hash] = std::move(spec);
  }
  const auto limits = ParseLimits(*parts.at(walk.limits));
  if (!limits) {
    assembly.problem = "malformed limits part " + walk.limits;
    return assembly;
  }
  manifest->callers = limits->callers;
  manifest->leaving = limits->leaving;
  m_parsed = std::move(parsed);
  m_hashes = std::move(walk.hashes);
  assembly.manifest = std::move(manifest);
  return assembly;
}

}  // namespace bramleyspoke
