#include "connection/base64.h"

#include <array>
#include <cstdint>

namespace bramleyspoke {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t kInvalid = 0xff;
constexpr std::uint32_t kSextetMask = 0x3f;

constexpr std::array<std::uint8_t, 256> MakeDecodeTable() {
  std::array<std::uint8_t, 256> table{};
  for (std::uint8_t& entry : table) {
    entry = kInvalid;
  }
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    table[static_cast<std::uint8_t>(kAlphabet[i])] =
        static_cast<std::uint8_t>(i);
  }
  return table;
}

constexpr auto kDecodeTable = MakeDecodeTable();

std::uint32_t ByteAt(std::string_view bytes, std::size_t index) {
  return index < bytes.size() ? static_cast<std::uint8_t>(bytes[index]) : 0;
}

std::size_t PaddingOf(std::string_view text) {
  if (text.empty() || text.back() != '=') {
    return 0;
  }
  return text[text.size() - 2] == '=' ? 2 : 1;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::uint32_t group = ByteAt(bytes, i) << 16 |
                                ByteAt(bytes, i + 1) << 8 |
                                ByteAt(bytes, i + 2);
    text += kAlphabet[group >> 18 & kSextetMask];
    text += kAlphabet[group >> 12 & kSextetMask];
    text += i + 1 < bytes.size() ? kAlphabet[group >> 6 & kSextetMask] : '=';
    text += i + 2 < bytes.size() ? kAlphabet[group & kSextetMask] : '=';
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  const std::size_t padding = PaddingOf(text);
  std::string bytes;
  bytes.reserve(text.size() / 4 * 3);
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t group = 0;
    for (std::size_t k = i; k < i + 4; ++k) {
      const bool is_padding = k >= text.size() - padding;
      const std::uint8_t value =
          is_padding ? 0 : kDecodeTable[static_cast<std::uint8_t>(text[k])];
      if (value == kInvalid) {
        return std::nullopt;
      }
      group = group << 6 | value;
    }
    bytes += static_cast<char>(group >> 16);
    bytes += static_cast<char>(group >> 8);
    bytes += static_cast<char>(group);
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace bramleyspoke
