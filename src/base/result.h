#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>
#include <vector>

namespace bramleyspoke {

/// Value or error, as returned by static factories.
template <typename T>
using Result = boost::leaf::result<T>;

/// One problem in a file, setting or manifest.
struct Problem {
  /// Path in the input, such as "services[2].slots"; may be empty.
  std::string path;
  /// Expected value, with range and unit.
  std::string expected;
};

/// Error object of factories: all problems found, not only the first.
struct Problems {
  std::vector<Problem> list;
};

/// Creates an error for `Result` with one problem.
inline boost::leaf::error_id Fail(std::string path, std::string expected) {
  return boost::leaf::new_error(
      Problems{{Problem{std::move(path), std::move(expected)}}});
}

}  // namespace bramleyspoke
