#include "request/request_ids.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace bramleyspoke {
namespace {

const Endpoint kSelf{"127.0.1.1", 9000};
constexpr TimePoint kStart{};
constexpr std::uint64_t kIncarnation = 7;
constexpr std::uint64_t kBody = 11;

}  // namespace

TEST_CASE("an issued id runs once and its outcome is returned again") {
  RequestIds ids(kSelf, kIncarnation, kStart);
  const std::string id = ids.Prefix(kStart) + "a";

  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kRun);
  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kRunning);
  ids.Finish(id, EndedRequest{200, "answer", Verdict::kRan});
  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kEnded);
  REQUIRE(ids.Ended(id));
  CHECK(ids.Ended(id)->body == "answer");
}

TEST_CASE("ids that must not run here are classified by the reason") {
  struct Row {
    std::string id;
    IdDecision expected;
  };
  RequestIds ids(kSelf, kIncarnation, kStart);
  const std::string mine = "127.0.1.1:9000~7~0~";
  ids.Check(mine + "seen", kBody + 1, kStart);
  const std::vector<Row> rows = {
      {"", IdDecision::kNotIssued},
      {"order-17", IdDecision::kNotIssued},
      {mine, IdDecision::kNotIssued},
      {"127.0.1.1:9000~7~x~a", IdDecision::kNotIssued},
      {"127.0.1.1:9000~7~1~future", IdDecision::kNotIssued},
      {"127.0.1.2:9000~7~0~a", IdDecision::kIssuedElsewhere},
      {"127.0.1.1:9000~6~0~a", IdDecision::kIssuerGone},
      {mine + "seen", IdDecision::kReused},
  };
  for (const Row& row : rows) {
    CAPTURE(row.id);
    CHECK(ids.Check(row.id, kBody, kStart) == row.expected);
  }
}

TEST_CASE("an expired id is removed but still not run again") {
  RequestIds ids(kSelf, kIncarnation, kStart);
  const std::string id = ids.Prefix(kStart) + "a";
  const TimePoint last =
      kStart + RequestIds::kEpochLength * RequestIds::kAcceptedEpochs -
      Duration(1);
  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kRun);
  ids.Finish(id, EndedRequest{200, "answer", Verdict::kRan});
  CHECK(ids.Check(id, kBody, last) == IdDecision::kEnded);
  const TimePoint after = last + Duration(1);
  CHECK(ids.Check(id, kBody, after) == IdDecision::kExpired);
  CHECK(ids.Check(ids.Prefix(after) + "b", kBody, after) == IdDecision::kRun);
  CHECK(ids.size() == 1);
  CHECK(ids.Check(id, kBody, after) == IdDecision::kExpired);
}

TEST_CASE("answers may be dropped to free memory, but not the ids") {
  RequestIds ids(kSelf, kIncarnation, kStart);
  const std::string first = ids.Prefix(kStart) + "first";
  const std::string second = ids.Prefix(kStart) + "second";
  const std::string large(RequestIds::kMaxAnswerBytes, 'x');
  for (const std::string& id : {first, second}) {
    REQUIRE(ids.Check(id, kBody, kStart) == IdDecision::kRun);
    ids.Finish(id, EndedRequest{200, large, Verdict::kRan});
  }
  CHECK(ids.Check(first, kBody, kStart) == IdDecision::kEnded);
  CHECK(ids.Ended(first)->body.empty());
  CHECK(ids.Ended(second)->body.size() == large.size());
}

TEST_CASE("an id that did not run may be sent again") {
  RequestIds ids(kSelf, kIncarnation, kStart);
  const std::string id = ids.Prefix(kStart) + "a";
  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kRun);
  ids.Forget(id);
  CHECK(ids.Check(id, kBody, kStart) == IdDecision::kRun);
}

}  // namespace bramleyspoke
