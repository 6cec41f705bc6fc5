#include "process/crash_suspect_writer.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "held_store.h"
#include "manual_loop.h"

namespace bramleyspoke {
namespace {

struct WriterFixture {
  ManualLoop loop;
  HeldStore store;
  CrashSuspectWriter writer{loop, store};
};

}  // namespace

TEST_CASE("suspects are written under a lease, one after the other") {
  WriterFixture fixture;
  fixture.writer.Write("a", "1");
  fixture.writer.Write("b", "2");
  fixture.writer.Write("a", "1");
  REQUIRE(fixture.store.grants.size() == 1);
  CHECK(fixture.store.grants.front().time_to_live ==
        Duration(CrashSuspectWriter::kTimeToLive));
  fixture.store.AnswerGrant(5);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  fixture.store.AnswerGrant(6);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  CHECK(fixture.store.put_keys == std::vector<std::string>{"a", "b"});
  CHECK(fixture.store.grants.empty());
}

TEST_CASE("a suspect that the store has is not written again") {
  WriterFixture fixture;
  fixture.writer.OnStored("a");
  fixture.writer.Write("a", "1");
  CHECK(fixture.store.grants.empty());
  fixture.writer.OnRemoved("a");
  fixture.writer.Write("a", "1");
  CHECK(fixture.store.grants.size() == 1);
}

TEST_CASE("a suspect is written once the store is back") {
  WriterFixture fixture;
  fixture.writer.Write("a", "1");
  for (int attempt = 0; attempt < 3; ++attempt) {
    REQUIRE(fixture.store.grants.size() == 1);
    const auto grant = std::move(fixture.store.grants.front().done);
    fixture.store.grants.clear();
    grant({KeyValueStatus::kUnknown, 0, {}});
    CHECK(fixture.store.grants.empty());
    REQUIRE(fixture.loop.RunNextTimer());
  }
  fixture.store.AnswerGrant(5);
  fixture.store.AnswerPut(KeyValueStatus::kUnknown);
  REQUIRE(fixture.loop.RunNextTimer());
  SUBCASE("under the same lease") {
    fixture.store.AnswerPut(KeyValueStatus::kOk);
  }
  SUBCASE("under a new lease if it has expired") {
    fixture.store.AnswerPut(KeyValueStatus::kNotFound);
    REQUIRE(fixture.loop.RunNextTimer());
    fixture.store.AnswerGrant(6);
    fixture.store.AnswerPut(KeyValueStatus::kOk);
  }
  CHECK(fixture.store.grants.empty());
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("in a new era of the store a write begins again") {
  WriterFixture fixture;
  fixture.writer.OnStored("b");
  fixture.writer.Write("a", "1");
  fixture.store.AnswerGrant(5);
  fixture.writer.OnNewEra();
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  fixture.store.AnswerGrant(6);
  fixture.store.AnswerPut(KeyValueStatus::kOk);
  CHECK(fixture.store.put_keys == std::vector<std::string>{"a", "a"});
  fixture.writer.Write("b", "2");
  CHECK(fixture.store.grants.size() == 1);
}

TEST_CASE("the number of suspects waiting to be written is bounded") {
  WriterFixture fixture;
  for (std::size_t i = 0; i < 2 * CrashSuspectWriter::kMaxWaiting; ++i) {
    fixture.writer.Write("key-" + std::to_string(i), "1");
  }
  std::size_t written = 0;
  while (!fixture.store.grants.empty()) {
    fixture.store.AnswerGrant(5);
    fixture.store.AnswerPut(KeyValueStatus::kOk);
    ++written;
  }
  CHECK(written == CrashSuspectWriter::kMaxWaiting);
}

}  // namespace bramleyspoke
