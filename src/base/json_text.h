#pragma once

#include <boost/json/fwd.hpp>
#include <string_view>

#include "base/result.h"

namespace bramleyspoke {

/// Parses JSON with comments.
///
/// Rejects malformed text, duplicate keys in an object, and nesting deeper than
/// 32 levels, which is more than any input file needs.
Result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace bramleyspoke
