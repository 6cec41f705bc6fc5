#include "connection/backend_server.h"

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<AttemptResult, 7> kResultNames{{{
    {AttemptResult::kAnswered, "answered"},
    {AttemptResult::kRefused, "refused"},
    {AttemptResult::kNotSent, "not_sent"},
    {AttemptResult::kLost, "lost"},
    {AttemptResult::kTimedOut, "timed_out"},
    {AttemptResult::kCancelled, "cancelled"},
    {AttemptResult::kWrongAnswer, "wrong_answer"},
}}};

constexpr EnumNames<LeafReason, 8> kReasonNames{{{
    {LeafReason::kNone, "none"},
    {LeafReason::kVersionMissing, "version_missing"},
    {LeafReason::kDraining, "draining"},
    {LeafReason::kShed, "shed"},
    {LeafReason::kDeadline, "deadline"},
    {LeafReason::kNoSlot, "no_slot"},
    {LeafReason::kCancelled, "cancelled"},
    {LeafReason::kOther, "other"},
}}};

}  // namespace

std::string_view ToString(AttemptResult result) {
  return kResultNames.NameOf(result);
}

std::string_view ToString(LeafReason reason) {
  return kReasonNames.NameOf(reason);
}

std::optional<LeafReason> ParseLeafReason(std::string_view name) {
  return kReasonNames.ValueOf(name);
}

}  // namespace bramleyspoke
