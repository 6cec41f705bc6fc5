#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// Encodes `bytes` as Base64 with padding (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);
/// Returns nothing if `text` is incomplete or malformed.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace bramleyspoke
