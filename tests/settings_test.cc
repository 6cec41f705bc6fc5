#include "process/settings.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/problems.h"

namespace bramleyspoke {
namespace {

const std::string kValidSettings = R"({
  "caller_listen": "127.0.1.1:8080",  // callers connect here
  "peer_listen": "127.0.1.1:9000",
  "failure_domain": "w1",
  "region": "windhoek",
  "store": {"endpoints": ["127.0.2.1:2379"]},
  "vm_list": "127.0.2.2:8600",
  "stop": {"keep_serving_ms": 500}
})";

std::string ProblemsOf(const std::string& text) {
  return ToString(Check([&] { return ParseSettings(text); }).problems);
}

struct ErrorCase {
  std::string_view from;
  std::string_view to;
  std::string_view problem;
};

}  // namespace

TEST_CASE("omitted settings have default values") {
  const Settings settings = ParseSettings(kValidSettings).value();
  CHECK(settings.caller_advertised == settings.caller_listen);
  CHECK(settings.peer_advertised == Endpoint{"127.0.1.1", 9000});
  CHECK(settings.stop.keep_serving == std::chrono::milliseconds(500));
  CHECK(settings.stop.bound == StopSettings{}.bound);
  CHECK(settings.log_level == LogLevel::kInfo);
  CHECK(settings.seeds.empty());
}

TEST_CASE("invalid settings are rejected with the path of the problem") {
  const std::vector<ErrorCase> cases{
      {"127.0.1.1:8080", "localhost:8080",
       "caller_listen: expected an IP address and a port"},
      {"127.0.1.1:8080", "0.0.0.0:8080",
       "caller_advertised: expected an address that callers can connect to"},
      {"127.0.1.1:9000", "127.0.1.1:8080",
       "peer_listen: expected an address other than caller_listen"},
      {"\"region\": \"windhoek\",", "",
       "region: expected 1 to 64 letters, digits, '-', '_' or '.' in a string "
       "(the key is missing)"},
      {"{\"endpoints\": [\"127.0.2.1:2379\"]}", "{\"endpoints\": []}",
       "store.endpoints: expected list of at least 1"},
      {"{\"endpoints\"", "{\"call_timeout_ms\": 1, \"endpoints\"",
       "store.call_timeout_ms: expected integer from 10 to 60000 ms"},
      {"_ms\": 500", "_ms\": 60000",
       "stop.bound_ms: expected a value greater than keep_serving_ms (60000 "
       "ms)"},
      {"keep_serving_ms", "keep_serving",
       "stop.keep_serving: expected a known key"},
      {"\"stop\"", "\"limits\": {\"body_bytes\": 3.5}, \"stop\"",
       "limits.body_bytes: expected integer from 1024 to 67108864 bytes"},
      {"\"stop\"", "\"log\": {\"level\": \"loud\"}, \"stop\"",
       "log.level: expected one of \"debug\" \"info\" \"warning\" \"error\""},
      {"\"stop\"", "\"seeds\": [\"x\"], \"stop\"",
       "seeds[0]: expected an IP address"},
      {"\"stop\"", "\"log\": [], \"stop\"", "log: expected object"},
  };
  for (const ErrorCase& error : cases) {
    CAPTURE(error.to);
    std::string text = kValidSettings;
    const std::size_t at = text.find(error.from);
    REQUIRE(at != std::string::npos);
    text.replace(at, error.from.size(), error.to);
    const std::string problems = ProblemsOf(text);
    CHECK_MESSAGE(problems.find(error.problem) != std::string::npos, problems);
  }
}

TEST_CASE("all problems in the settings are reported together") {
  const std::string problems = ProblemsOf("{\"a\": 1, \"peer_listen\": 2}");
  for (const char* path :
       {"caller_listen", "peer_listen", "failure_domain", "region", "store",
        "vm_list", "a: expected a known key"}) {
    CAPTURE(path);
    CHECK(problems.find(path) != std::string::npos);
  }
}

}  // namespace bramleyspoke
