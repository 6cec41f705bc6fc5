#pragma once

#include <string>
#include <string_view>

namespace bramleyspoke {

/// Formats JSON with one member or item per line; malformed text is returned
/// unchanged.
std::string IndentJson(std::string_view text);

}  // namespace bramleyspoke
