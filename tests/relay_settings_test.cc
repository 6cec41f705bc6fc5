#include "process/relay_settings.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/problems.h"

namespace bramleyspoke {
namespace {

std::string ReadExample() {
  const char* source = std::getenv("BRAMLEYSPOKE_SOURCE");
  std::ifstream file(std::string(source != nullptr ? source : ".") +
                     "/examples/relay.settings.json");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ProblemsOf(const std::string& from, const std::string& to) {
  std::string text = ReadExample();
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
  return ToString(Check([&] { return ParseRelaySettings(text); }).problems);
}

}  // namespace

TEST_CASE("the example settings are parsed") {
  const std::string text = ReadExample();
  REQUIRE(IsRelaySettings(text));
  const RelaySettings settings = ParseRelaySettings(text).value();
  CHECK(settings.name == "front-1");
  CHECK(settings.regions.at("wvb-hall-1") == "walvis");
  CHECK(settings.repeats.slack == 56);
  CHECK(settings.operator_listen == Endpoint{"127.0.1.1", 7380});
  CHECK_FALSE(IsRelaySettings("{}"));
  CHECK_FALSE(IsRelaySettings("no JSON"));
}

TEST_CASE("problems in relay settings are reported with their path") {
  CHECK(ProblemsOf("\"127.0.2.1:8102\"", "\"nowhere\"").find("relay.store") !=
        std::string::npos);
  CHECK(ProblemsOf("\"slack\": 56", "\"slack\": -1")
            .find("relay.repeats.slack") != std::string::npos);
  CHECK(ProblemsOf("\"region\": \"windhoek\",\n", "\"regio\": \"w\",\n")
            .find("relay.regio") != std::string::npos);
  CHECK(ProblemsOf("\"log_level\": \"info\"", "\"log_level\": \"loud\"")
            .find("relay.log_level") != std::string::npos);
}

}  // namespace bramleyspoke
