#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "connection/key_value_store.h"

namespace bramleyspoke {

/// Store that keeps each call pending until the test answers it.
class HeldStore final : public KeyValueStore {
 public:
  struct HeldWatch {
    Duration wait{0};
    std::function<void(KeyValueChanges)> done;
    std::int64_t revision = 0;
  };
  struct HeldGrant {
    Duration time_to_live{0};
    std::function<void(LeaseGrant)> done;
  };
  /// Revision of all responses.
  static constexpr std::int64_t kRevision = 7;
  using StatusCallback = std::function<void(KeyValueStatus)>;

  void OnEraChange(std::function<void(const StoreEraChange&)> done) override {
    on_era_change = std::move(done);
  }
  std::uint64_t Era() const override { return era; }
  void Range(const std::string& /*prefix*/,
             const std::string& /*after*/,
             ReadAge age,
             std::function<void(KeyValuePage)> done) override {
    read_ages.push_back(age);
    ranges.push_back(std::move(done));
  }
  void Watch(const std::string& /*prefix*/,
             std::int64_t revision,
             Duration wait,
             std::function<void(KeyValueChanges)> done) override {
    watches.push_back({wait, std::move(done), revision});
  }
  void CancelWatches() override {
    for (const HeldWatch& watch : std::exchange(watches, {})) {
      watch.done({KeyValueStatus::kUnknown, {}, 0});
    }
  }
  void ReadRecentRevision(std::function<void(KeyValueRevision)> done) override {
    revision_reads.push_back(std::move(done));
  }
  void Grant(Duration time_to_live,
             std::function<void(LeaseGrant)> done) override {
    grants.push_back({time_to_live, std::move(done)});
  }
  void Renew(LeaseId /*lease*/, StatusCallback done) override {
    renews.push_back(std::move(done));
  }
  void Revoke(LeaseId lease, StatusCallback /*done*/) override {
    revoked.push_back(lease);
  }
  void Put(const std::string& key,
           const std::string& value,
           LeaseId /*lease*/,
           StatusCallback done) override {
    put_keys.push_back(key);
    last_put_value = value;
    puts.push_back(std::move(done));
  }

  void AnswerRange(std::vector<KeyValueItem> items = {}) {
    REQUIRE(ranges.size() == 1);
    std::exchange(ranges, {})
        .front()({KeyValueStatus::kOk, std::move(items), false, kRevision});
  }
  void AnswerWatch(KeyValueStatus status) {
    REQUIRE(watches.size() == 1);
    std::exchange(watches, {}).front().done({status, {}, kRevision});
  }
  void AnswerGrant(LeaseId lease) {
    REQUIRE(grants.size() == 1);
    std::exchange(grants, {}).front().done({KeyValueStatus::kOk, lease, {}});
  }
  void AnswerPut(KeyValueStatus status) {
    REQUIRE(puts.size() == 1);
    std::exchange(puts, {}).front()(status);
  }
  void AnswerRenew(KeyValueStatus status) {
    REQUIRE(renews.size() == 1);
    std::exchange(renews, {}).front()(status);
  }

  std::uint64_t era = 0;
  /// Ages that the reads of keys so far allowed.
  std::vector<ReadAge> read_ages;
  std::function<void(const StoreEraChange&)> on_era_change;
  std::vector<std::function<void(KeyValuePage)>> ranges;
  std::vector<HeldWatch> watches;
  std::vector<std::function<void(KeyValueRevision)>> revision_reads;
  std::vector<HeldGrant> grants;
  std::vector<StatusCallback> renews;
  std::vector<StatusCallback> puts;
  /// Keys of all puts so far.
  std::vector<std::string> put_keys;
  std::string last_put_value;
  std::vector<LeaseId> revoked;
};

}  // namespace bramleyspoke
