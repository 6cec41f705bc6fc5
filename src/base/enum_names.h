#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bramleyspoke {

/// An enum value and its name.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Maps the values of an `enum class` to names and names to values.
template <typename Enum, std::size_t Count>
struct EnumNames {
  std::array<EnumName<Enum>, Count> rows;

  constexpr std::string_view NameOf(Enum value) const {
    for (const auto& row : rows) {
      if (row.value == value) {
        return row.name;
      }
    }
    return "unknown";
  }

  constexpr std::optional<Enum> ValueOf(std::string_view name) const {
    for (const auto& row : rows) {
      if (row.name == name) {
        return row.value;
      }
    }
    return std::nullopt;
  }
};

}  // namespace bramleyspoke
