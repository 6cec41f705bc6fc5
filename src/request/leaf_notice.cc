#include "request/leaf_notice.h"

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<LeafNoticeKind, 5> kNames{{{
    {LeafNoticeKind::kRateLimited, "rate_limited"},
    {LeafNoticeKind::kRateLimitEnded, "rate_limit_ended"},
    {LeafNoticeKind::kLeaving, "leaving"},
    {LeafNoticeKind::kPaused, "paused"},
    {LeafNoticeKind::kUnreadable, "unreadable"},
}}};

}  // namespace

std::string_view ToString(LeafNoticeKind kind) {
  return kNames.NameOf(kind);
}

}  // namespace bramleyspoke
