#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "connection/key_value_store.h"

namespace bramleyspoke {

enum class StoreCallKind {
  kRange,
  kWatch,
  kRevision,
  kGrant,
  kRenew,
  kRevoke,
  kPut,
};

std::string_view ToString(StoreCallKind kind);

/// Called on the store's loop with the kind and the status of each call that
/// ended.
using OnStoreCall = std::function<void(StoreCallKind, KeyValueStatus)>;

/// Wraps `store` so that `on_call` is called whenever a call to it has ended.
std::unique_ptr<KeyValueStore> CountStoreCalls(
    std::unique_ptr<KeyValueStore> store,
    OnStoreCall on_call);

}  // namespace bramleyspoke
