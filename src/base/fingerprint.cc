#include "base/fingerprint.h"

#include <array>
#include <charconv>

namespace bramleyspoke {
namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kMaxDigits = 16;

}  // namespace

std::string FormatFingerprint(std::uint64_t fingerprint) {
  std::array<char, kMaxDigits> text{};
  const auto written = std::to_chars(text.data(), text.data() + text.size(),
                                     fingerprint, kHexBase);
  return {text.data(), written.ptr};
}

std::optional<std::uint64_t> ParseFingerprint(std::string_view text) {
  std::uint64_t fingerprint = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, fingerprint, kHexBase);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return fingerprint;
}

}  // namespace bramleyspoke
