#include "platform/store_entries.h"

#include <doctest/doctest.h>

#include "base/problems.h"

namespace bramleyspoke::Platform {
namespace {

const std::string kLeaf =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":2,"state":"ready","cold_remaining_ms":0,"seq":4,"born":17})";

const std::string kRoutes =
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"h","prefix":"/a/","route_kind":"idempotent",)"
    R"("timeout_ms":1200,"target_latency_ms":120,"priority":2,)"
    R"("fanout_services":["s1","s2"],"max_attempts":2,"result_limit":5,)"
    R"("min_shard_ratio":0.75},)"
    R"({"name":"r2","host":"h","prefix":"/b/","route_kind":"non_idempotent",)"
    R"("timeout_ms":4000,"weighted_services":[{"service":"s1","weight":3},)"
    R"({"service":"s2","weight":1}]}],)"
    R"("services":[{"name":"s1","health_path":"/health",)"
    R"("connection_limit":26,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("all fields of a leaf's registration are read") {
  const StoreEntries entries;
  const LeafRegistration leaf = entries.ReadLeaf("i-1", kLeaf).value();
  CHECK(leaf.id == "i-1");
  CHECK(leaf.service == "s");
  CHECK(leaf.address == Endpoint{"10.0.0.1", 80});
  CHECK(leaf.failure_domain == "z");
  CHECK(leaf.slots == 2);
  CHECK_FALSE(leaf.is_draining);
  CHECK(leaf.started_at_ms == 17);
}

TEST_CASE("a registration with a missing or invalid field is rejected") {
  const StoreEntries entries;
  struct Row {
    std::string from;
    std::string to;
  };
  const std::vector<Row> rows{
      {"\"service\":\"s\",", ""},
      {"\"address\":\"10.0.0.1:80\"", "\"address\":80"},
      {"10.0.0.1:80", "nowhere"},
      {"\"slots\":2", "\"slots\":\"2\""},
      {"\"slots\":2", "\"slots\":0"},
      {"\"ready\"", "\"sleeping\""},
      {"\"seq\":4", "\"seq\":null"},
      {"\"born\":17", "\"born\":17.5"},
      {"\"born\":17", "\"born\":\"17\""},
      {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":[]"},
      {"{\"service\"", "[\"service\""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.from);
    CAPTURE(row.to);
    const std::string broken = Replaced(kLeaf, row.from, row.to);
    const auto read = Check([&] { return entries.ReadLeaf("i-1", broken); });
    CHECK_FALSE(read.value);
    CHECK_FALSE(ToString(read.problems).empty());
  }
}

// Guards against an odd entry of another writer that ends a daemon, or that it
// takes for a leaf with other figures.
TEST_CASE("a registration that is no credible leaf's is rejected") {
  const StoreEntries entries;
  std::string name = "i-1";
  std::string value = kLeaf;
  const auto replace = [&](const std::string& from, const std::string& to) {
    value = Replaced(kLeaf, from, to);
  };
  constexpr std::size_t kDepth = 100'000;
  SUBCASE("nested deeply") {
    value = std::string(kDepth, '[') + std::string(kDepth, ']');
  }
  SUBCASE("with a field that is nested deeply") {
    replace("\"seq\":4",
            "\"seq\":" + std::string(kDepth, '[') + std::string(kDepth, ']'));
  }
  SUBCASE("with objects nested deeply, without an end") {
    for (std::size_t level = 0; level < kDepth; ++level) {
      value += "{\"a\":";
    }
  }
  SUBCASE("with a port out of range") {
    replace(":80", ":65536");
  }
  SUBCASE("with a port of 0") {
    replace(":80", ":0");
  }
  SUBCASE("with a negative port") {
    replace(":80", ":-1");
  }
  SUBCASE("with a port over 64 bits") {
    replace(":80", ":99999999999999999999999");
  }
  SUBCASE("with more slots than 32 bits hold") {
    replace("\"slots\":2", "\"slots\":4294967296");
  }
  SUBCASE("with as many slots as 32 bits hold") {
    replace("\"slots\":2", "\"slots\":4294967295");
  }
  SUBCASE("with more slots than 64 bits hold") {
    replace("\"slots\":2", "\"slots\":99999999999999999999999");
  }
  SUBCASE("with a number beyond all doubles") {
    replace("\"slots\":2", "\"slots\":1e999");
  }
  SUBCASE("with a time beyond all durations") {
    replace("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1e300");
  }
  SUBCASE("with a negative time") {
    replace("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":-1");
  }
  SUBCASE("with a start time beyond 64 bits") {
    replace("\"born\":17", "\"born\":1e300");
  }
  SUBCASE("under an id that would add a header to requests") {
    name = "i-1\r\nRequest-Id: other";
  }
  SUBCASE("under an id with a space") {
    name = "i 1";
  }
  SUBCASE("under no id") {
    name = "";
  }
  SUBCASE("of bytes that are no text") {
    value = std::string("\x00\xff\xfe{", 4);
  }
  SUBCASE("of text that is no UTF-8") {
    replace("\"z\"", "\"\xc3\x28\"");
  }
  SUBCASE("of nothing") {
    value = "";
  }
  const auto read = Check([&] { return entries.ReadLeaf(name, value); });
  CHECK_FALSE(read.value);
  CHECK_FALSE(ToString(read.problems).empty());
}

TEST_CASE("routes are read with their targets") {
  const StoreEntries entries;
  const auto table = entries.ReadRoutes(kRoutes).value();
  CHECK(table->Version() == 7);
  const Route* fan_out = table->Find("h", "/a/x");
  REQUIRE(fan_out);
  CHECK(fan_out->shards == std::vector<std::string>{"s1", "s2"});
  CHECK(fan_out->min_coverage == 0.75);
  CHECK(fan_out->result_limit == 5);
  const Route* weighted = table->Find("h", "/b/x");
  REQUIRE(weighted);
  CHECK(weighted->kind == RequestKind::kNonIdempotent);
  CHECK(weighted->services.size() == 2);
  CHECK(weighted->max_attempts == 1);
  CHECK(table->Limits().body_bytes == 262144);
  CHECK(table->Services().at("s1").connection_limit == 26);
}

TEST_CASE("invalid routes are rejected with an error that names the field") {
  const StoreEntries entries;
  const std::string broken = Replaced(kRoutes, "\"route_kind\":\"idempotent\"",
                                      "\"route_kind\":\"?\"");
  const auto read = Check([&] { return entries.ReadRoutes(broken); });
  CHECK_FALSE(read.value);
  CHECK(ToString(read.problems).find("routes[0].route_kind") !=
        std::string::npos);
}

TEST_CASE("a daemon's entry is read back as it was written") {
  const StoreEntries entries;
  const DaemonEntry daemon{{"10.0.0.1", 1}, {"10.0.0.1", 2}, "d", "r"};
  CHECK(entries.ReadDaemon(entries.WriteDaemon(daemon)).value() == daemon);
  DaemonEntry cut_off = daemon;
  cut_off.is_cut_off = true;
  CHECK(entries.ReadDaemon(entries.WriteDaemon(cut_off)).value() == cut_off);
  const std::string key = entries.DaemonKey("n");
  CHECK(entries.KindOf(key) == StoreKeyKind::kDaemon);
  CHECK(entries.NameOf(key) == "n");
  CHECK(entries.KindOf("servers/i-1") == StoreKeyKind::kLeaf);
  CHECK(entries.NameOf("servers/i-1") == "i-1");
  CHECK(entries.KindOf("op/config") == StoreKeyKind::kRoutes);
  CHECK(entries.KindOf("else") == StoreKeyKind::kOther);
}

TEST_CASE("a suspect request is read back as it was written") {
  const StoreEntries entries;
  const CrashSuspect whole{0xfedcba9876543210, ""};
  const CrashSuspect part{whole.content, "s1"};
  for (const CrashSuspect& suspect : {whole, part}) {
    const std::string value = entries.WriteCrashSuspect(suspect);
    CHECK(entries.ReadCrashSuspect(value).value() == suspect);
    CHECK(entries.KindOf(entries.CrashSuspectKey(suspect)) ==
          StoreKeyKind::kCrashSuspect);
  }
  CHECK(entries.CrashSuspectKey(whole) != entries.CrashSuspectKey(part));
  const auto invalid =
      Check([&] { return entries.ReadCrashSuspect(R"({"content":"x"})"); });
  CHECK(ToString(invalid.problems).find("content") != std::string::npos);
}

}  // namespace bramleyspoke::Platform
