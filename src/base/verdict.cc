#include "base/verdict.h"

#include <algorithm>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<Verdict, 3> kNames{{{
    {Verdict::kNotRun, "not_run"},
    {Verdict::kRan, "ran"},
    {Verdict::kMayHaveRun, "may_have_run"},
}}};

}  // namespace

std::string_view ToString(Verdict verdict) {
  return kNames.NameOf(verdict);
}

std::optional<Verdict> ParseVerdict(std::string_view name) {
  return kNames.ValueOf(name);
}

Verdict Combine(Verdict a, Verdict b) {
  return std::max(a, b);
}

}  // namespace bramleyspoke
