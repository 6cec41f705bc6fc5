#include "tool/explanation.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

namespace bramleyspoke {
namespace {

std::vector<LogRecord> ReadRecords(const std::string& text) {
  std::istringstream stream(text);
  return ReadLogRecords(stream, "file.log");
}

std::string LogLine(const std::string& time, const std::string& rest) {
  return R"({"time":"2026-06-06T01:01:)" + time + R"(Z","level":"info",)" +
         rest + "}\n";
}

}  // namespace

TEST_CASE(
    "log records are read with or without a prefix; other lines are skipped") {
  const auto records = ReadRecords(
      "starting up\n" + LogLine("32.051", R"("event":"started")") +
      "  7.06 front-1 " + LogLine("49.067", R"("event":"store_lost")") +
      R"({"event":"no_time"})" + "\n{broken\n");
  REQUIRE(records.size() == 2);
  CHECK(records[0].source == "file.log");
  CHECK(records[0].event == "started");
  CHECK(records[1].source == "front-1");
  CHECK(records[1].time_ms - records[0].time_ms == 17016);
}

TEST_CASE("a refusal is explained with earlier events of the same daemon") {
  const auto explanation = ExplainRequest(
      ReadRecords(
          "a " + LogLine("40.000", R"("event":"registered")") + "b " +
          LogLine("50.000", R"("event":"store_lost")") + "a " +
          LogLine("50.000", R"("event":"store_lost")") + "a " +
          LogLine("55.600",
                  R"("event":"request_end","request_id":"r1","status":503,)"
                  R"("reason":"not_ready","verdict":"not_run",)"
                  R"("retry_after_ms":500)") +
          "a " + LogLine("55.700", R"("event":"store_back")")),
      "r1");
  REQUIRE(explanation.request_records.size() == 1);
  REQUIRE(explanation.context.size() == 1);
  CHECK(explanation.context.front().event == "store_lost");
  REQUIRE(explanation.causes.size() == 1);
  CHECK(explanation.causes.front().find(
            "Refused with status 503, not_ready (not_run), retry after 500 ms. "
            "No route matched") == 0);
}

TEST_CASE("a skipped response is explained with the request that it names") {
  const auto explanation = ExplainRequest(
      ReadRecords("a " + LogLine("40.000",
                                 R"("event":"response_skipped",)"
                                 R"("request_id":"r1","leaf":"leaf-1",)"
                                 R"("echoed_id":"r0","status":200)")),
      "r1");
  REQUIRE(explanation.causes.size() == 1);
  CHECK(explanation.causes.front() ==
        "Leaf leaf-1 sent a response with status 200 that names request r0; "
        "it was skipped.");
}

TEST_CASE("a suspect request is explained with the crashes of all daemons") {
  const auto explanation = ExplainRequest(
      ReadRecords(
          "b " +
          LogLine("01.000", R"("event":"leaf_crashed","fingerprint":"aa",)"
                            R"("resource":"cc","leaf":"leaf-1")") +
          "b " +
          LogLine("02.000", R"("event":"leaf_crashed","fingerprint":"ee",)"
                            R"("resource":"ee","leaf":"leaf-2")") +
          "c " +
          LogLine("03.000", R"("event":"leaf_crashed","fingerprint":"bb",)"
                            R"("resource":"cc","leaf":"leaf-3")") +
          "a " +
          LogLine("55.600",
                  R"("event":"request_end","request_id":"r1","status":503,)"
                  R"("fingerprint":"dd","resource":"cc",)"
                  R"("reason":"crash_suspect","verdict":"not_run")")),
      "r1");
  REQUIRE(explanation.context.size() == 2);
  CHECK(explanation.context[0].Text("leaf") == "leaf-1");
  CHECK(explanation.context[1].Text("leaf") == "leaf-3");
}

TEST_CASE("a request that may have run is described as ended, not as refused") {
  const auto explanation = ExplainRequest(
      ReadRecords("a " + LogLine("55.600",
                                 R"("event":"request_end","request_id":"r1",)"
                                 R"("status":504,"reason":"deadline_passed",)"
                                 R"("verdict":"may_have_run")")),
      "r1");
  REQUIRE(explanation.causes.size() == 1);
  CHECK(explanation.causes.front().find(
            "Ended with status 504, deadline_passed (may_have_run). ") == 0);
}

TEST_CASE("a request that was handed over to a peer is explained") {
  const auto explanation = ExplainRequest(
      ReadRecords("a " +
                  LogLine("50.000", R"("event":"leaf_contact",)"
                                    R"("state":"cut_off")") +
                  "a " +
                  LogLine("55.600",
                          R"("event":"request_end","request_id":"r1",)"
                          R"("status":200,"hand_overs":4)")),
      "r1");
  REQUIRE(explanation.context.size() == 1);
  CHECK(explanation.context.front().event == "leaf_contact");
  REQUIRE(explanation.causes.size() == 2);
  CHECK(explanation.causes.back().find("4 times, a part was handed over") == 0);
}

TEST_CASE("records of several daemons are ordered by time") {
  const auto explanation = ExplainRequest(
      ReadRecords(
          "near " +
          LogLine(
              "10.110",
              R"("event":"request_end","request_id":"r1","status":200,)"
              R"("taken_ms":110,"time_for_answer_ms":109,)"
              R"("wait_end":"answer_due","missing_shards":1,"odd":"s7 open")") +
          "far " +
          LogLine("10.060",
                  R"("event":"peer_query_end","request_id":"r1","taken_ms":52,)"
                  R"("time_for_answer_ms":51,"wait_end":"answer_due",)"
                  R"("missing_shards":1,"odd":"s7 open after leaf-3")") +
          "far " +
          LogLine("10.040", R"("event":"send_failed","request_id":"r1",)"
                            R"("leaf":"leaf-2","service":"s6","kind":"lost",)"
                            R"("taken_ms":41)")),
      "r1");
  REQUIRE(explanation.request_records.size() == 3);
  CHECK(explanation.request_records.front().event == "send_failed");
  CHECK(explanation.request_records.back().event == "request_end");
  REQUIRE(explanation.causes.size() == 6);
  CHECK(explanation.causes[0] ==
        "Leaf leaf-2 of s6 closed the connection without a response after 41 "
        "ms.");
  CHECK(explanation.causes[1].find("At far") == 0);
  CHECK(explanation.causes[4] ==
        "1 shards had not responded when the answer was due, 109 ms after the "
        "request arrived.");
}

TEST_CASE("the explanation is empty if no record has the request id") {
  const auto explanation = ExplainRequest(
      ReadRecords(LogLine("10.000", R"("event":"started")")), "r1");
  CHECK(explanation.request_records.empty());
  CHECK(explanation.context.empty());
  CHECK(explanation.causes.empty());
}

}  // namespace bramleyspoke
