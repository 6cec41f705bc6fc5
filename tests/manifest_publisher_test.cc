#include "version/manifest_publisher.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

#include "fake_store.h"
#include "version/manifest_reader.h"

namespace bramleyspoke {
namespace {

Manifest MakeManifest(int services, std::uint32_t caller_limit = 5) {
  Manifest manifest;
  for (int i = 0; i < services; ++i) {
    manifest.services.push_back(MakeService("s" + std::to_string(100 + i)));
  }
  manifest.callers = {{"desk", caller_limit}};
  manifest.leaving = {{"127.1.0.1", 7000}};
  return manifest;
}

std::optional<PublishOutcome> Publish(
    FakeStore& store,
    const Manifest& manifest,
    const std::string& id,
    std::optional<std::uint64_t> expected = {}) {
  std::optional<PublishOutcome> outcome;
  ManifestPublisher::Publish(store, manifest, {id, expected},
                             [&](PublishOutcome result) { outcome = result; });
  store.RunAll();
  return outcome;
}

ManifestReadOutcome Read(FakeStore& store,
                         std::optional<std::uint64_t> generation) {
  ManifestReadOutcome outcome;
  ManifestReader::Read(store, generation, [&](ManifestReadOutcome result) {
    outcome = std::move(result);
  });
  store.RunAll();
  return outcome;
}

}  // namespace

TEST_CASE("published manifests can be read by generation") {
  FakeStore store;
  const Manifest first = MakeManifest(3);
  const Manifest second = MakeManifest(5, 9);
  CHECK(Publish(store, first, "p1")->result == PublishResult::kAccepted);
  CHECK(Publish(store, second, "p2")->generation == 2);
  CHECK(Read(store, std::nullopt).manifest == second);
  CHECK(Read(store, 1).manifest == first);
  CHECK_FALSE(Read(store, 7).manifest);
  CHECK(ParseManifestHead(store.values[std::string(kHeadKey)].value) ==
        store.heads.back());
  CHECK_FALSE(ParseManifestHead("{\"generation\":-1}"));
}

TEST_CASE("a change of one service writes the changed parts and the head") {
  FakeStore store;
  Manifest manifest = MakeManifest(100);
  Publish(store, manifest, "p1");
  store.writes = 0;
  manifest.services[40].slots = 3;
  Publish(store, manifest, "p2");
  // One part each for the service, its group and the root, and the head.
  CHECK(store.writes == 4);
}

TEST_CASE("the publish id and the expected generation are checked") {
  FakeStore store;
  const Manifest manifest = MakeManifest(1);
  Publish(store, manifest, "p1");
  SUBCASE("a second publish with the same id changes nothing") {
    const auto again = Publish(store, manifest, "p1");
    CHECK(again->result == PublishResult::kAccepted);
    CHECK(again->generation == 1);
    CHECK(store.heads.size() == 1);
  }
  SUBCASE(
      "an unexpected generation is a conflict that reports both generations") {
    const auto outcome = Publish(store, manifest, "p2", 4);
    CHECK(outcome->result == PublishResult::kConflict);
    CHECK(outcome->generation == 5);
    CHECK(outcome->current_generation == 1);
  }
}

TEST_CASE(
    "the outcomes of concurrent publishes agree with the store's history") {
  const bool is_satisfied = rc::check("outcome against history", [] {
    FakeStore store;
    const int publishers = *rc::gen::inRange(1, 4);
    std::vector<std::optional<PublishOutcome>> outcomes(publishers);
    for (int i = 0; i < publishers; ++i) {
      ManifestPublisher::Publish(
          store, MakeManifest(2, i + 1), {"p" + std::to_string(i), {}},
          [&outcomes, i](PublishOutcome outcome) { outcomes[i] = outcome; });
    }
    const auto fault =
        rc::gen::weightedElement<StoreFault>({{12, StoreFault::kNone},
                                              {3, StoreFault::kAnswerLost},
                                              {2, StoreFault::kRequestLost},
                                              {3, StoreFault::kLate},
                                              {1, StoreFault::kRefused}});
    while (store.Waiting() > 0) {
      store.RunOne(*rc::gen::inRange<std::size_t>(0, store.Waiting()), *fault);
    }
    for (int i = 0; i < publishers; ++i) {
      RC_ASSERT(outcomes[i].has_value());
      std::vector<std::uint64_t> generations;
      for (const ManifestHead& head : store.heads) {
        if (head.publishes.back().id == "p" + std::to_string(i)) {
          generations.push_back(head.generation);
        }
      }
      // Each publish takes effect at most once, whichever calls are lost or
      // repeated.
      RC_ASSERT(generations.size() <= 1U);
      switch (outcomes[i]->result) {
        case PublishResult::kAccepted:
          RC_ASSERT(generations ==
                    std::vector<std::uint64_t>{outcomes[i]->generation});
          break;
        case PublishResult::kConflict:
        case PublishResult::kNotPublished:
          RC_ASSERT(generations.empty());
          break;
        case PublishResult::kUnknown:
          break;
      }
    }
    for (std::size_t i = 0; i < store.heads.size(); ++i) {
      RC_ASSERT(store.heads[i].generation == i + 1);
    }
  });
  CHECK(is_satisfied);
}

}  // namespace bramleyspoke
