#include <doctest/doctest.h>

#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "base/problems.h"
#include "process/settings.h"
#include "version/manifest.h"

namespace bramleyspoke {
namespace {

std::string SourceFile(const std::string& name) {
  const char* root = std::getenv("BRAMLEYSPOKE_SOURCE");
  return std::string(root == nullptr ? "." : root) + "/" + name;
}

std::string ReadExample(const std::string& name) {
  std::ifstream stream(SourceFile("examples/" + name));
  REQUIRE(stream);
  return {std::istreambuf_iterator<char>(stream), {}};
}

struct ExpectedService {
  const char* deployment;
  const char* name;
  std::size_t shards;
  std::size_t replicas;
  std::uint32_t slots;
  std::uint32_t connections;
};

constexpr ExpectedService kServices[] = {
    {"kalahari", "restore-desk-search", 20, 2, 2, 25},
    {"kalahari", "retention-auditor", 30, 2, 2, 25},
    {"kalahari", "manifest-lookup", 1, 3, 6, 110},
    {"kalahari", "usage-billing", 1, 3, 6, 110},
    {"tengiz", "berth-planning-and-dispatch", 20, 2, 2, 25},
    {"tengiz", "rope-survey", 30, 2, 2, 25},
    {"tengiz", "invoicing", 1, 13, 3, 40},
    {"tengiz", "crew-roster", 1, 6, 3, 40},
};

}  // namespace

TEST_CASE("the example settings are valid") {
  for (const std::string deployment : {"kalahari", "tengiz"}) {
    const std::string text = ReadExample(deployment + ".settings.json");
    const auto settings = Check([&] { return ParseSettings(text); });
    CHECK_MESSAGE(settings.value, ToString(settings.problems));
  }
}

TEST_CASE("--check, --help and invalid arguments exit with the right code") {
  const char* programs = std::getenv("BRAMLEYSPOKE_BIN");
  REQUIRE(programs != nullptr);
  const std::string daemon = std::string(programs) + "/bramleyspoked";
  struct Row {
    std::string arguments;
    int exit_code;
  };
  const Row rows[] = {
      {"--settings " + SourceFile("examples/tengiz.settings.json") + " --check",
       0},
      {"--settings " + SourceFile("examples/tengiz.manifest.json") + " --check",
       3},
      {"--settings absent.json --check", 3},
      {"--help", 0},
      {"--fly", 2},
      {"", 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.arguments);
    const std::string command =
        daemon + " " + row.arguments + " >/dev/null 2>&1";
    CHECK(WEXITSTATUS(std::system(command.c_str())) == row.exit_code);
  }
}

TEST_CASE("the example manifests contain the specified services and sizes") {
  for (const ExpectedService& expected : kServices) {
    CAPTURE(expected.name);
    const std::string text =
        ReadExample(std::string(expected.deployment) + ".manifest.json");
    const Manifest manifest = ParseManifest(text).value();
    const ServiceSpec* spec = manifest.Find(expected.name);
    REQUIRE(spec != nullptr);
    CHECK(spec->layouts.at(0).shards.size() == expected.shards);
    CHECK(spec->layouts[0].shards.at(0).replicas.size() == expected.replicas);
    CHECK(spec->slots == expected.slots);
    CHECK(spec->connections == expected.connections);
  }
}

TEST_CASE("the example manifests equal the output of scripts/make-manifest") {
  for (const std::string deployment : {"kalahari", "tengiz"}) {
    const std::string command =
        SourceFile("scripts/make-manifest") + " " + deployment + " | cmp - " +
        SourceFile("examples/" + deployment + ".manifest.json");
    CHECK(std::system(command.c_str()) == 0);
  }
}

}  // namespace bramleyspoke
