#include "connection/key_value_store.h"

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<KeyValueStatus, 5> kStatusNames{{{
    {KeyValueStatus::kOk, "ok"},
    {KeyValueStatus::kNotFound, "not_found"},
    {KeyValueStatus::kHistoryGone, "history_gone"},
    {KeyValueStatus::kRefused, "refused"},
    {KeyValueStatus::kUnknown, "unknown"},
}}};

}  // namespace

std::string_view ToString(KeyValueStatus status) {
  return kStatusNames.NameOf(status);
}

}  // namespace bramleyspoke
