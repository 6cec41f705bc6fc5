#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// A fingerprint in hexadecimal, as JSON numbers cannot hold 64 bits.
std::string FormatFingerprint(std::uint64_t fingerprint);
std::optional<std::uint64_t> ParseFingerprint(std::string_view text);

}  // namespace bramleyspoke
