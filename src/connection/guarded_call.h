#pragma once

#include <functional>
#include <string_view>

namespace bramleyspoke {

/// Runs `call`, so that an exception ends this call only and not its thread:
/// it is logged with `place`. Returns whether the call returned normally.
bool RunGuarded(std::string_view place, const std::function<void()>& call);

}  // namespace bramleyspoke
