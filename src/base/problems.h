#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "base/result.h"

namespace bramleyspoke {

/// Result of a factory: a value or, if there is none, the problems found.
template <typename T>
struct Checked {
  std::optional<T> value;
  Problems problems;
};

/// Calls `factory`, which returns a `Result`, and converts its error to
/// problems.
template <typename Factory>
auto Check(Factory factory) {
  using FactoryResult = std::invoke_result_t<Factory>;
  using Value =
      std::remove_cvref_t<decltype(std::declval<FactoryResult&>().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Checked<Value>> {
        auto value = factory();
        if (!value) {
          return value.error();
        }
        return Checked<Value>{std::move(*value), {}};
      },
      [](const Problems& problems) {
        return Checked<Value>{std::nullopt, problems};
      },
      [] {
        return Checked<Value>{std::nullopt, {{{"", "no internal error"}}}};
      });
}

/// One line per problem: "path: expected ...".
std::string ToString(const Problems& problems);

}  // namespace bramleyspoke
