#pragma once

#include <boost/json/fwd.hpp>
#include <string_view>

#include "base/result.h"

namespace bramleyspoke {

/// Parses JSON with comments, as operators write it.
///
/// Refuses malformed text, keys that stand twice in one object, and nesting
/// deeper than any of our files needs.
Result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace bramleyspoke
