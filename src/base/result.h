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

/// One fault in a file, setting or manifest.
struct Problem {
  /// Where: a path in the file such as "services[2].slots", or empty.
  std::string path;
  /// What was expected, with range and unit.
  std::string expected;
};

/// The error object of factories: every fault found, not just the first.
struct Problems {
  std::vector<Problem> list;
};

/// Error for `Result` that carries one problem.
inline boost::leaf::error_id Fail(std::string path, std::string expected) {
  return boost::leaf::new_error(
      Problems{{Problem{std::move(path), std::move(expected)}}});
}

}  // namespace bramleyspoke
