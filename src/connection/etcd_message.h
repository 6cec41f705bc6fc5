#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection/config_store.h"

namespace bramleyspoke {

/// Body of POST /v3/kv/range for one key.
std::string EncodeRange(const std::string& key);
/// Returns the value in a range response, with revision 0 if the key is absent;
/// nothing if the response is malformed.
std::optional<StoreValue> ParseRange(std::string_view body);

/// Body of POST /v3/kv/txn: a put, on condition that the key's revision is
/// `expected`.
std::string EncodeCompareAndSwap(const std::string& key,
                                 std::int64_t expected,
                                 const std::string& value);
/// Returns `kOk` or `kConflict`; nothing if the response is malformed.
std::optional<StoreWrite> ParseCompareAndSwap(std::string_view body);

/// Body of POST /v3/watch for one key, from `revision` on.
std::string EncodeWatch(const std::string& key, std::int64_t revision);

/// One line of a watch stream.
struct WatchMessage {
  std::vector<StoreValue> changes;
  /// The store ended the watch, for instance because the requested revisions
  /// were compacted.
  bool is_cancelled = false;
};

/// Returns nothing if the line is malformed.
std::optional<WatchMessage> ParseWatchMessage(std::string_view line);

}  // namespace bramleyspoke
