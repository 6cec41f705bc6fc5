#include "process/seed_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "manual_loop.h"
#include "router_fakes.h"

namespace bramleyspoke {
namespace {

const Endpoint kFirst{"127.0.0.1", 1};
const Endpoint kSecond{"127.0.0.1", 2};

// Holds each call until the test answers it.
class HeldPeers final : public FakePeers {
 public:
  void FetchKnowledge(
      const Endpoint& peer,
      Duration /*timeout*/,
      std::function<void(std::optional<StoreKnowledge>)> done) override {
    queried.push_back(peer);
    m_done = std::move(done);
  }
  void Answer(std::optional<StoreKnowledge> knowledge) {
    std::exchange(m_done, nullptr)(std::move(knowledge));
  }

  std::vector<Endpoint> queried;

 private:
  std::function<void(std::optional<StoreKnowledge>)> m_done;
};

class SeedFixture {
 public:
  SeedFixture() : reader(SeedReader::Create(loop, peers, {kFirst, kSecond})) {
    reader->Start([this](const StoreKnowledge& knowledge) {
      received.push_back(knowledge.routes);
    });
  }

  void Answer(std::optional<StoreKnowledge> knowledge) {
    peers.Answer(std::move(knowledge));
    loop.RunAll();
  }

  ManualLoop loop;
  HeldPeers peers;
  std::vector<std::string> received;
  std::unique_ptr<SeedReader> reader;
};

}  // namespace

TEST_CASE("seeds are queried in turn until one has routes") {
  SeedFixture fixture;
  CHECK(fixture.peers.queried.empty());
  fixture.loop.RunNextTimer();
  fixture.Answer(std::nullopt);
  fixture.loop.RunNextTimer();
  fixture.Answer(StoreKnowledge());
  fixture.loop.RunNextTimer();
  CHECK(fixture.peers.queried == std::vector{kFirst, kSecond, kFirst});
  CHECK(fixture.received.empty());

  fixture.Answer(StoreKnowledge{"routes", {}, {}, {}});
  CHECK(fixture.received == std::vector<std::string>{"routes"});
  CHECK_FALSE(fixture.loop.RunNextTimer());
}

TEST_CASE("seeds are not used once the store has answered") {
  SeedFixture fixture;
  SUBCASE("before the first seed was queried") {
    fixture.reader->Stop();
    CHECK_FALSE(fixture.loop.RunNextTimer());
    CHECK(fixture.peers.queried.empty());
  }
  SUBCASE("while a query is outstanding") {
    fixture.loop.RunNextTimer();
    fixture.reader->Stop();
    fixture.Answer(StoreKnowledge{"routes", {}, {}, {}});
    CHECK(fixture.received.empty());
  }
}

TEST_CASE("seeds are queried later while the store answers") {
  SeedFixture fixture;
  fixture.reader->Postpone(std::chrono::seconds(2));
  fixture.loop.RunTimersUntil(std::chrono::steady_clock::now() +
                              SeedReader::kStoreGracePeriod +
                              std::chrono::seconds(1));
  CHECK(fixture.peers.queried.empty());
  CHECK(fixture.loop.RunNextTimer());
  CHECK(fixture.peers.queried == std::vector{kFirst});
}

}  // namespace bramleyspoke
