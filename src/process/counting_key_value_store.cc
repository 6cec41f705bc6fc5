#include "process/counting_key_value_store.h"

#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<StoreCallKind, 7> kStoreCallNames{{{
    {StoreCallKind::kRange, "range"},
    {StoreCallKind::kWatch, "watch"},
    {StoreCallKind::kRevision, "revision"},
    {StoreCallKind::kGrant, "grant"},
    {StoreCallKind::kRenew, "renew"},
    {StoreCallKind::kRevoke, "revoke"},
    {StoreCallKind::kPut, "put"},
}}};

KeyValueStatus StatusOf(KeyValueStatus status) {
  return status;
}

template <typename Answer>
KeyValueStatus StatusOf(const Answer& answer) {
  return answer.status;
}

class CountingKeyValueStore final : public KeyValueStore {
 public:
  CountingKeyValueStore(std::unique_ptr<KeyValueStore> store,
                        OnStoreCall on_call)
      : m_store(std::move(store)), m_on_call(std::move(on_call)) {}

  void OnEraChange(std::function<void(const StoreEraChange&)> done) override {
    m_store->OnEraChange(std::move(done));
  }
  std::uint64_t Era() const override { return m_store->Era(); }
  void Range(const std::string& prefix,
             const std::string& after,
             ReadAge age,
             std::function<void(KeyValuePage)> done) override {
    m_store->Range(prefix, after, age,
                   CountCall(StoreCallKind::kRange, std::move(done)));
  }
  void Watch(const std::string& prefix,
             std::int64_t revision,
             Duration wait,
             std::function<void(KeyValueChanges)> done) override {
    m_store->Watch(prefix, revision, wait,
                   CountCall(StoreCallKind::kWatch, std::move(done)));
  }
  void CancelWatches() override { m_store->CancelWatches(); }
  void ReadRecentRevision(std::function<void(KeyValueRevision)> done) override {
    m_store->ReadRecentRevision(
        CountCall(StoreCallKind::kRevision, std::move(done)));
  }
  void Grant(Duration time_to_live,
             std::function<void(LeaseGrant)> done) override {
    m_store->Grant(time_to_live,
                   CountCall(StoreCallKind::kGrant, std::move(done)));
  }
  void Renew(LeaseId lease, std::function<void(KeyValueStatus)> done) override {
    m_store->Renew(lease, CountCall(StoreCallKind::kRenew, std::move(done)));
  }
  void Revoke(LeaseId lease,
              std::function<void(KeyValueStatus)> done) override {
    m_store->Revoke(lease, CountCall(StoreCallKind::kRevoke, std::move(done)));
  }
  void Put(const std::string& key,
           const std::string& value,
           LeaseId lease,
           std::function<void(KeyValueStatus)> done) override {
    m_store->Put(key, value, lease,
                 CountCall(StoreCallKind::kPut, std::move(done)));
  }

 private:
  template <typename Answer>
  std::function<void(Answer)> CountCall(StoreCallKind kind,
                                        std::function<void(Answer)> done) {
    return [on_call = m_on_call, kind, done = std::move(done)](Answer answer) {
      on_call(kind, StatusOf(answer));
      done(std::move(answer));
    };
  }

  std::unique_ptr<KeyValueStore> m_store;
  OnStoreCall m_on_call;
};

}  // namespace

std::string_view ToString(StoreCallKind kind) {
  return kStoreCallNames.NameOf(kind);
}

std::unique_ptr<KeyValueStore> CountStoreCalls(
    std::unique_ptr<KeyValueStore> store,
    OnStoreCall on_call) {
  return std::make_unique<CountingKeyValueStore>(std::move(store),
                                                 std::move(on_call));
}

}  // namespace bramleyspoke
