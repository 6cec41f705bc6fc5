#include "request/relay.h"

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<LeafReplyKind, 8> kReplyNames{{{
    {LeafReplyKind::kSucceeded, "succeeded"},
    {LeafReplyKind::kFailed, "failed"},
    {LeafReplyKind::kRefused, "refused"},
    {LeafReplyKind::kOtherLeaf, "other_leaf"},
    {LeafReplyKind::kNotSent, "not_sent"},
    {LeafReplyKind::kLost, "lost"},
    {LeafReplyKind::kTimedOut, "timed_out"},
    {LeafReplyKind::kMalformed, "malformed"},
}}};

constexpr EnumNames<WaitEnd, 3> kWaitEndNames{{{
    {WaitEnd::kAllEnded, "all_ended"},
    {WaitEnd::kAnswerDue, "answer_due"},
    {WaitEnd::kDeadline, "deadline"},
}}};

constexpr EnumNames<PartState, 4> kPartEndNames{{{
    {PartState::kAnswered, "answered"},
    {PartState::kCovered, "covered"},
    {PartState::kFailed, "failed"},
    {PartState::kOpen, "open"},
}}};

}  // namespace

std::string_view ToString(LeafReplyKind kind) {
  return kReplyNames.NameOf(kind);
}

std::string_view ToString(WaitEnd end) {
  return kWaitEndNames.NameOf(end);
}

std::string_view ToString(PartState end) {
  return kPartEndNames.NameOf(end);
}

Verdict VerdictOf(LeafReplyKind kind) {
  switch (kind) {
    case LeafReplyKind::kSucceeded:
    case LeafReplyKind::kFailed:
      return Verdict::kRan;
    case LeafReplyKind::kRefused:
    case LeafReplyKind::kOtherLeaf:
    case LeafReplyKind::kNotSent:
      return Verdict::kNotRun;
    case LeafReplyKind::kLost:
    case LeafReplyKind::kTimedOut:
    case LeafReplyKind::kMalformed:
      break;
  }
  return Verdict::kMayHaveRun;
}

}  // namespace bramleyspoke
