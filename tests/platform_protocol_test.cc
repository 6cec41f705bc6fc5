#include "platform/platform_protocol.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "platform/platform_discovery.h"
#include "platform/record_merge.h"
#include "process/holder_choice.h"

namespace bramleyspoke::Platform {
namespace {

HttpOutcome Answer(int status, std::vector<HttpHeader> headers) {
  HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  return {response, {}};
}

struct ReplyRow {
  const char* description;
  HttpOutcome outcome;
  LeafReplyKind kind;
};

}  // namespace

TEST_CASE(
    "each outcome of a request to a leaf is mapped to its kind of reply") {
  const PlatformProtocol protocol;
  const std::vector<ReplyRow> rows{
      {"success", Answer(200, {{"Response-Stamp", "s"}}),
       LeafReplyKind::kSucceeded},
      {"unsigned success", Answer(200, {}), LeafReplyKind::kMalformed},
      {"encoded body",
       Answer(200, {{"Response-Stamp", "s"}, {"Content-Encoding", "gzip"}}),
       LeafReplyKind::kMalformed},
      {"refusal", Answer(503, {{"Not-Executed", "1"}}),
       LeafReplyKind::kRefused},
      {"503 without Not-Executed", Answer(503, {{"Response-Stamp", "s"}}),
       LeafReplyKind::kFailed},
      {"another leaf", Answer(421, {}), LeafReplyKind::kOtherLeaf},
      {"failure", Answer(500, {{"Response-Stamp", "s"}}),
       LeafReplyKind::kFailed},
      {"no connection",
       {std::nullopt, HttpFailure::kConnect},
       LeafReplyKind::kNotSent},
      {"reset", {std::nullopt, HttpFailure::kClosed}, LeafReplyKind::kLost},
      {"no answer",
       {std::nullopt, HttpFailure::kTimeout},
       LeafReplyKind::kTimedOut},
      {"not HTTP",
       {std::nullopt, HttpFailure::kMalformed},
       LeafReplyKind::kMalformed},
  };
  for (const ReplyRow& row : rows) {
    CAPTURE(row.description);
    CHECK(protocol.ReadReply(row.outcome).kind == row.kind);
  }
}

TEST_CASE(
    "a leaf's 503 reaches the caller as 502 because the request may have run") {
  const PlatformProtocol protocol;
  HttpResponse failure = *Answer(503, {{"Response-Stamp", "s"}}).response;
  const HttpResponse answer = protocol.MakeAnswer(failure);
  CHECK(answer.status == 502);
  CHECK(HeaderValue(answer.headers, "Response-Stamp").empty());
}

TEST_CASE(
    "the request rate that a leaf names is read from any of its answers") {
  const PlatformProtocol protocol;
  const auto read = [&](int status, std::vector<HttpHeader> headers) {
    return protocol.ReadReply(Answer(status, std::move(headers))).announcement;
  };
  for (const int status : {200, 500, 503}) {
    CAPTURE(status);
    const auto announcement = read(status, {{"Server-Limit", "22.8"}});
    REQUIRE(announcement.has_value());
    CHECK(announcement->request_rate == 22.8);
    CHECK(announcement->unreadable.empty());
  }
  CHECK(read(200, {{"Server-Limit", "0"}})->request_rate == 0);
  CHECK_FALSE(read(200, {})->request_rate.has_value());
  // The answer is another leaf's.
  CHECK_FALSE(read(421, {{"Server-Limit", "5"}}).has_value());
}

TEST_CASE("a request rate that is no number counts as absent and is reported") {
  const PlatformProtocol protocol;
  for (const char* value : {"-1", "many", "1e3", "nan", "inf", "5/s", " 5 x"}) {
    CAPTURE(value);
    const auto announcement =
        protocol.ReadReply(Answer(200, {{"Server-Limit", value}})).announcement;
    REQUIRE(announcement.has_value());
    CHECK_FALSE(announcement->request_rate.has_value());
    CHECK(announcement->unreadable == std::string("Server-Limit: ") + value);
  }
}

TEST_CASE("a leaf that is leaving says so in any of its answers") {
  const PlatformProtocol protocol;
  const auto read = [&](int status, std::vector<HttpHeader> headers) {
    return protocol.ReadReply(Answer(status, std::move(headers))).announcement;
  };
  for (const int status : {200, 500, 503}) {
    CHECK(read(status, {{"Server-Leaving", "1"}})->is_leaving);
    CHECK_FALSE(read(status, {})->is_leaving);
  }
  const auto unreadable =
      read(200, {{"Server-Leaving", "yes"}, {"Server-Limit", "x"}});
  CHECK_FALSE(unreadable->is_leaving);
  CHECK(unreadable->unreadable == "Server-Limit: x, Server-Leaving: yes");
}

TEST_CASE("a leaf asks for a pause with its status 503 only") {
  const PlatformProtocol protocol;
  const auto read = [&](int status, const char* value) {
    return *protocol.ReadReply(Answer(status, {{"Retry-After", value}}))
                .announcement;
  };
  CHECK(read(503, "2").pause == std::chrono::seconds(2));
  CHECK(read(503, "0.25").pause == std::chrono::milliseconds(250));
  CHECK_FALSE(read(500, "2").pause.has_value());
  CHECK_FALSE(read(200, "2").pause.has_value());
  CHECK_FALSE(read(503, "0").pause.has_value());
  CHECK(read(503, "0").unreadable.empty());
  CHECK(read(503, "99999999999999999999").pause == std::chrono::hours(24));
  for (const char* value : {"-3", "soon", "Fri, 04 Dec 2026 11:00:00 GMT"}) {
    CAPTURE(value);
    CHECK_FALSE(read(503, value).pause.has_value());
    CHECK(read(503, value).unreadable == std::string("Retry-After: ") + value);
  }
}

TEST_CASE("what a leaf announces to daemons does not reach callers") {
  const PlatformProtocol protocol;
  const HttpResponse answer =
      protocol.MakeAnswer(*Answer(200, {{"Response-Stamp", "s"},
                                        {"Server-Limit", "5"},
                                        {"Server-Leaving", "1"},
                                        {"Retry-After", "1"}})
                               .response);
  CHECK(HeaderValue(answer.headers, "Response-Stamp") == "s");
  for (const char* name : {"Server-Limit", "Server-Leaving", "Retry-After"}) {
    CAPTURE(name);
    CHECK(HeaderValue(answer.headers, name).empty());
  }
}

TEST_CASE("an answer is matched to its request by the request id") {
  const PlatformProtocol protocol;
  ConnectionUse use = ConnectionUse::kFirst;
  const auto belongs = [&](int status, std::vector<HttpHeader> headers) {
    return protocol.IsResponseTo(
        "id", *Answer(status, std::move(headers)).response, use);
  };
  CHECK(belongs(200, {{"Request-Id", "id"}}));
  CHECK_FALSE(belongs(200, {{"Request-Id", "other"}}));
  CHECK_FALSE(belongs(200, {{"Response-Stamp", "s"}}));
  CHECK(belongs(421, {}));
  CHECK(belongs(400, {}));
  // Guards against stray bytes behind an earlier answer that are taken as proof
  // that a request has not run.
  use = ConnectionUse::kReused;
  CHECK_FALSE(belongs(421, {}));
  CHECK_FALSE(belongs(400, {}));
  CHECK(belongs(421, {{"Request-Id", "id"}}));
}

TEST_CASE(
    "a leaf gets the whole request except headers of the caller's connection") {
  const PlatformProtocol protocol;
  HttpRequest request{"POST",
                      "/a/b?c=d",
                      {{"Host", "h"},
                       {"Connection", "keep-alive"},
                       {"Deadline-Milliseconds", "2000"},
                       {"X-Own", "1"},
                       {"X-Own", "2"}},
                      "body"};
  HttpRequest sent =
      protocol.MakeLeafRequest(request, "leaf", std::chrono::milliseconds(70));
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/a/b?c=d");
  CHECK(sent.body == "body");
  CHECK(HeaderValue(sent.headers, "Host") == "h");
  CHECK(HeaderValue(sent.headers, "Connection").empty());
  CHECK(HeaderValue(sent.headers, "Deadline-Milliseconds") == "70");
  CHECK(HeaderValue(sent.headers, "Expected-Instance") == "leaf");
  CHECK(sent.headers.size() == 5);
  protocol.SetTimeLeft(sent, std::chrono::milliseconds(30));
  CHECK(HeaderValue(sent.headers, "Deadline-Milliseconds") == "30");
  CHECK(sent.headers.size() == 5);
}

TEST_CASE("a refusal has status 503 only if the request did not run") {
  const PlatformProtocol protocol;
  RelayRefusal refusal{RefusalReason::kOverloaded, Verdict::kNotRun,
                       std::chrono::milliseconds(150)};
  const HttpResponse not_run = protocol.MakeRefusal(refusal);
  CHECK(not_run.status == 503);
  CHECK(HeaderValue(not_run.headers, "Retry-After") == "0.150");
  refusal.verdict = Verdict::kMayHaveRun;
  CHECK(protocol.MakeRefusal(refusal).status == 502);
  refusal.reason = RefusalReason::kDeadlinePassed;
  CHECK(protocol.MakeRefusal(refusal).status == 504);
  refusal = {RefusalReason::kBadRequest, Verdict::kNotRun, std::nullopt};
  CHECK(protocol.MakeRefusal(refusal).status == 400);
}

TEST_CASE("a merged answer holds the greatest records and all stamps") {
  const std::string low(16, 'a');
  const std::string mid(16, 'b');
  const std::string high(16, 'c');
  CHECK(GreatestRecords({low + high + "rest", mid}, 2) == high + mid);
  CHECK(GreatestRecords({high, high}, 5) == high + high);
  CHECK(GreatestRecords({"short"}, 5).empty());

  const PlatformProtocol protocol;
  HttpResponse one = *Answer(200, {{"Response-Stamp", "s1"}}).response;
  one.body = low;
  HttpResponse other = *Answer(200, {{"Part-Stamps", "s2, s3"}}).response;
  other.body = high;
  const HttpResponse merged = protocol.MakeMergedAnswer({one, other}, 2, 10);
  CHECK(HeaderValue(merged.headers, "Part-Stamps") == "s1, s2, s3");
  CHECK(HeaderValue(merged.headers, "Missing-Parts") == "2");
  CHECK(merged.body == high + low);
}

TEST_CASE(
    "an address answer lists daemons of regions with leafs, or all if these "
    "are too few") {
  const PlatformDiscovery calls;
  HttpRequest request;
  request.target = "/-/resolve?name=h&region=r3&zone=z";
  CHECK(calls.ReadAddressQuery(request) == "r3");
  request.target = "/-/readiness";
  CHECK_FALSE(calls.ReadAddressQuery(request));
  CHECK(calls.IsReadinessQuery(request));

  const Endpoint a{"127.0.0.1", 1};
  const Endpoint b{"127.0.0.2", 1};
  const Endpoint c{"127.0.0.3", 1};
  const std::vector<DaemonEntry> daemons{
      {a, a, "d1", "r1"}, {b, b, "d1", "r1"}, {c, c, "d3", "r3"}};
  const auto choose = [&](const std::set<std::string>& serving,
                          const std::string& region) {
    std::vector<Endpoint> chosen =
        ChooseCallerAddresses(ChooseHolders(daemons, 10), serving, region);
    std::sort(chosen.begin(), chosen.end());
    return chosen;
  };
  CHECK(choose({"r1"}, "r1") == std::vector{a, b});
  CHECK(choose({"r1"}, "r3") == std::vector{a, b});
  CHECK(choose({"r3"}, "r3") == std::vector{a, b, c});
  CHECK(calls.MakeAddressAnswer({a}, std::chrono::seconds(2)).body ==
        R"({"addrs":["127.0.0.1:1"],"ttl_s":2})");
}

TEST_CASE("in a large fleet every daemon returns the same few addresses") {
  std::vector<DaemonEntry> daemons;
  for (std::uint16_t port = 1; port <= 60; ++port) {
    const Endpoint address{"127.0.0.1", port};
    daemons.push_back({address, address, "d", port <= 40 ? "r1" : "r2"});
  }
  const auto choose = [&](const std::string& region, std::size_t holders) {
    return ChooseCallerAddresses(ChooseHolders(daemons, holders), {"r1", "r2"},
                                 region);
  };
  const auto named = choose("r1", 15);
  CHECK(named.size() == 10);
  std::reverse(daemons.begin(), daemons.end());
  CHECK(choose("r1", 15) == named);
  CHECK(choose("r2", 15).size() == 5);
  CHECK(choose("r2", 1).size() == 3);
}

TEST_CASE("callers are not directed to daemons that are cut off from leafs") {
  std::vector<DaemonEntry> daemons;
  for (std::uint16_t port = 1; port <= 6; ++port) {
    const bool is_first_region = port <= 3;
    daemons.push_back({{"10.0.0.1", port},
                       {"10.0.0.2", port},
                       is_first_region ? "d1" : "d2",
                       is_first_region ? "r1" : "r2",
                       1000});
  }
  const auto addresses = [&] {
    return ChooseCallerAddresses(KeepInContact(daemons), {"r1", "r2"}, "r1");
  };
  REQUIRE(addresses().size() == 3);
  SUBCASE("one of their region") {
    daemons[0].is_cut_off = true;
    CHECK(addresses().size() == 2);
  }
  SUBCASE("all of their region") {
    for (int i = 0; i < 3; ++i) {
      daemons[i].is_cut_off = true;
    }
    CHECK(addresses().size() == 3);
    CHECK(addresses().front() == daemons[3].address);
  }
  SUBCASE("unless all are") {
    for (DaemonEntry& daemon : daemons) {
      daemon.is_cut_off = true;
    }
    CHECK(addresses().size() == 3);
  }
}

TEST_CASE("with VMs of several sizes the largest ones serve callers") {
  std::vector<DaemonEntry> daemons;
  for (std::uint16_t port = 1; port <= 29; ++port) {
    const Endpoint address{"127.0.0.1", port};
    const std::uint32_t processor = port % 7 == 0 ? 500 : 120;
    daemons.push_back({address, address, "d", "r", processor});
  }
  SUBCASE(
      "as many as have the processor capacity of the requested number of "
      "average VMs") {
    const auto holders = ChooseHolders(daemons, 6);
    CHECK(holders.size() == 3);
    for (const DaemonEntry& holder : holders) {
      CHECK(holder.processor == 500);
    }
  }
  SUBCASE("small ones too if the large ones do not suffice") {
    const auto holders = ChooseHolders(daemons, 15);
    CHECK(holders.size() > 4);
    CHECK(holders.size() < 15);
    CHECK(holders.at(3).processor == 500);
    CHECK(holders.at(4).processor == 120);
  }
  SUBCASE("all of them if that many are requested") {
    CHECK(ChooseHolders(daemons, 29).size() == 29);
  }
}

}  // namespace bramleyspoke::Platform
