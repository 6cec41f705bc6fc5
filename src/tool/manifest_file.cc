#include "tool/manifest_file.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

#include "base/problems.h"
#include "tool/command.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

std::optional<std::string> ReadAll(const std::string& file) {
  if (file == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream stream(file);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

void PrintProblems(const Problems& problems, CommandOutput& output) {
  if (!output.is_json) {
    output.error << ToString(problems);
    return;
  }
  json::array list;
  for (const Problem& problem : problems.list) {
    list.push_back(
        json::object{{"path", problem.path}, {"expected", problem.expected}});
  }
  output.out << json::serialize(json::object{{"valid", false},
                                             {"problems", std::move(list)}})
             << '\n';
}

}  // namespace

std::optional<Manifest> ReadManifestFile(const std::string& file,
                                         CommandOutput& output) {
  const std::optional<std::string> text = ReadAll(file);
  if (!text) {
    PrintProblems({{{file, "a readable file"}}}, output);
    return std::nullopt;
  }
  auto manifest = Check([&] { return ParseManifest(*text); });
  if (!manifest.value) {
    PrintProblems(manifest.problems, output);
  }
  return std::move(manifest.value);
}

ManifestSize SizeOf(const Manifest& manifest) {
  ManifestSize size;
  std::set<Endpoint> leafs;
  for (const ServiceSpec& spec : manifest.services) {
    ++size.services;
    for (const Layout& layout : spec.layouts) {
      size.shards += layout.shards.size();
      for (const Shard& shard : layout.shards) {
        for (const Replica& replica : shard.replicas) {
          leafs.insert(replica.leaf);
        }
      }
    }
  }
  size.leafs = leafs.size();
  return size;
}

std::string ToString(const ManifestSize& size) {
  return std::to_string(size.services) + " services, " +
         std::to_string(size.shards) + " shards, " +
         std::to_string(size.leafs) + " leafs";
}

}  // namespace bramleyspoke
