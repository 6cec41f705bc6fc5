#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "connection/key_value_store.h"

namespace bramleyspoke {

enum class StoreCallKind {
  kRange,
  kWatch,
  kGrant,
  kRenew,
  kRevoke,
  kPut,
};

std::string_view ToString(StoreCallKind kind);

/// Hears of each call to a store that ended, on the store's loop.
using OnStoreCall = std::function<void(StoreCallKind, KeyValueStatus)>;

/// `store`, with every call told to `on_call`.
std::unique_ptr<KeyValueStore> CountStoreCalls(
    std::unique_ptr<KeyValueStore> store,
    OnStoreCall on_call);

}  // namespace bramleyspoke
