#include "version/manifest.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/problems.h"

namespace bramleyspoke {
namespace {

const std::string kValidManifest = R"({
  // two services
  "services": [
    {"name": "lookup", "class": "urgent", "idempotent": false, "slots": 6,
     "connections": 110, "holders": 3, "extra_load_percent": 2.5,
     "layouts": [{"id": "a", "shards": [{"id": 0, "replicas": [
       {"leaf": "127.1.0.1:7000", "failure_domain": "w1", "region": "windhoek"},
       {"leaf": "127.1.0.2:7000", "failure_domain": "w2", "region": "windhoek"}
     ]}]}]},
    {"name": "search", "class": "batch", "idempotent": true, "slots": 2,
     "connections": 25,
     "layouts": [{"id": "a", "shards": [{"id": 0, "replicas": [
       {"leaf": "127.2.0.1:7000", "failure_domain": "w1", "region": "windhoek"}
     ]}]}]}
  ],
  "callers": [{"name": "desk", "max_in_flight": 10}],
  "leaving": ["127.1.0.1:7000"]
})";

std::string Replaced(std::string text,
                     std::string_view from,
                     std::string_view to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string ProblemsOf(const std::string& text) {
  return ToString(Check([&] { return ParseManifest(text); }).problems);
}

struct ErrorCase {
  std::string_view from;
  std::string_view to;
  std::string_view problem;
};

}  // namespace

TEST_CASE("a manifest converted to JSON and parsed again is unchanged") {
  const Manifest manifest = ParseManifest(kValidManifest).value();
  CHECK(manifest.services.size() == 2);
  CHECK(manifest.Find("lookup")->extra_load_percent == 2.5);
  CHECK(manifest.Find("search")->max_hits == ServiceSpec{}.max_hits);
  CHECK(manifest.Find("none") == nullptr);
  CHECK(ParseManifest(ToJson(manifest)).value() == manifest);
}

TEST_CASE("an invalid manifest is rejected with the path of the problem") {
  const std::vector<ErrorCase> cases{
      {"\"slots\": 6", "\"slots\": 0",
       "services[0].slots: expected integer from 1 to 1024 concurrent "
       "requests"},
      {"\"slots\": 6", "\"slots\": \"6\"", "services[0].slots: expected int"},
      {"\"slots\": 6,", "",
       "services[0].slots: expected integer from 1 to "
       "1024 concurrent requests (the key is missing)"},
      {"\"slots\": 6", "\"slots\": 6, \"slots\": 5",
       "services[0].slots: expected a key that is unique in its object"},
      {"\"slots\": 6", "\"slotz\": 6",
       "services[0].slotz: expected a known key"},
      {"\"urgent\"", "\"fast\"",
       "services[0].class: expected one of \"urgent\" \"interactive\""},
      {"\"idempotent\": false", "\"idempotent\": 0",
       "services[0].idempotent: expected true or false"},
      {"\"holders\": 3", "\"holders\": 56",
       "services[0].holders: expected at most 55 daemons"},
      {"2.5", "101", "extra_load_percent: expected number from 0 to 100 per"},
      {"\"search\"", "\"lookup\"",
       "services[1].name: expected service name that is unique"},
      {"\"search\"", "\"a b\"", "services[1].name: expected 1 to 64 letters"},
      {"127.1.0.2:7000", "127.1.0.1:7000",
       "services[0].layouts[0].shards[0].replicas[1].leaf: expected leaf"},
      {"127.1.0.2:7000", "leaf-2:7000",
       "replicas[1].leaf: expected an IP address and a port"},
      {"127.2.0.1:7000", "127.1.0.2:7000",
       "services[1].layouts: expected leafs that belong to no other service"},
      {"\"shards\": [", "\"shards\": [{\"id\": 0, \"replicas\": []}, ",
       "services[0].layouts[0].shards[0].replicas: expected list of at least"},
      {"\"id\": \"a\", \"shards\": [",
       "\"id\": \"a\", \"shards\": [], \"x\": [",
       "services[0].layouts[0].shards: expected list of at least 1"},
      {"\"max_in_flight\": 10", "\"max_in_flight\": 0",
       "callers[0].max_in_flight: expected integer from 1"},
      {"[\"127.1.0.1:7000\"]", "[\"127.1.0.1:7000\", \"127.1.0.1:7000\"]",
       "leaving[1]: expected address that is unique"},
      {"// two", "/ two", "line 2: expected JSON with comments"},
  };
  for (const ErrorCase& error : cases) {
    CAPTURE(error.to);
    const std::string problems =
        ProblemsOf(Replaced(kValidManifest, error.from, error.to));
    CHECK_MESSAGE(problems.find(error.problem) != std::string::npos, problems);
  }
}

TEST_CASE("all problems of a manifest are reported, not only the first") {
  std::string text = Replaced(kValidManifest, "\"slots\": 6", "\"slots\": 0");
  text = Replaced(text, "\"search\"", "\"lookup\"");
  text = Replaced(text, "\"max_in_flight\": 10", "\"in_flight\": 10");
  const std::string problems = ProblemsOf(text);
  CHECK(problems.find("services[0].slots") != std::string::npos);
  CHECK(problems.find("services[1].name") != std::string::npos);
  CHECK(problems.find("callers[0].max_in_flight") != std::string::npos);
  CHECK(problems.find("callers[0].in_flight") != std::string::npos);
}

TEST_CASE("shard ids are unique within a layout") {
  const std::string shard = R"({"id": 0, "replicas": [{"leaf":
    "127.1.0.9:7000", "failure_domain": "w1", "region": "windhoek"}]}, )";
  const std::string text =
      Replaced(kValidManifest, "\"shards\": [", "\"shards\": [" + shard);
  CHECK(ProblemsOf(text).find("shards[1].id: expected shard id that") !=
        std::string::npos);
}

TEST_CASE("excessive nesting is rejected") {
  const std::string text(100'000, '[');
  CHECK(ProblemsOf(text).find("expected JSON") != std::string::npos);
}

}  // namespace bramleyspoke
