#pragma once

#include <string>
#include <string_view>

namespace bramleyspoke {

/// The same JSON with one member a line; unchanged when malformed.
std::string IndentJson(std::string_view text);

}  // namespace bramleyspoke
