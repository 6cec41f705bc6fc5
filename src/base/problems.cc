#include "base/problems.h"

namespace bramleyspoke {

std::string ToString(const Problems& problems) {
  std::string text;
  for (const Problem& problem : problems.list) {
    const std::string path = problem.path.empty() ? "file" : problem.path;
    text += path + ": expected " + problem.expected + "\n";
  }
  return text;
}

}  // namespace bramleyspoke
