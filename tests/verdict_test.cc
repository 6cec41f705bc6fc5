#include "base/verdict.h"

#include <doctest/doctest.h>

#include <string>

namespace bramleyspoke {

TEST_CASE("a verdict's name is parsed back to the same verdict") {
  for (const Verdict verdict :
       {Verdict::kNotRun, Verdict::kRan, Verdict::kMayHaveRun}) {
    CAPTURE(std::string(ToString(verdict)));
    CHECK(ParseVerdict(ToString(verdict)) == verdict);
  }
  CHECK_FALSE(ParseVerdict("perhaps"));
}

TEST_CASE("a combined verdict is not run only if neither part ran") {
  CHECK(Combine(Verdict::kNotRun, Verdict::kNotRun) == Verdict::kNotRun);
  CHECK(Combine(Verdict::kNotRun, Verdict::kRan) == Verdict::kRan);
  CHECK(Combine(Verdict::kRan, Verdict::kMayHaveRun) == Verdict::kMayHaveRun);
}

}  // namespace bramleyspoke
