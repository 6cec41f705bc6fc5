#include "base/refusal.h"

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

constexpr EnumNames<RefusalReason, 19> kNames{{{
    {RefusalReason::kBadRequest, "bad_request"},
    {RefusalReason::kUnknownService, "unknown_service"},
    {RefusalReason::kOverloaded, "overloaded"},
    {RefusalReason::kCallerLimit, "caller_limit"},
    {RefusalReason::kDeadlinePassed, "deadline_passed"},
    {RefusalReason::kNoReplica, "no_replica"},
    {RefusalReason::kLeafRateLimit, "leaf_rate_limit"},
    {RefusalReason::kLeafPaused, "leaf_paused"},
    {RefusalReason::kNoSnapshot, "no_snapshot"},
    {RefusalReason::kCrashSuspect, "crash_suspect"},
    {RefusalReason::kIdNotIssued, "id_not_issued"},
    {RefusalReason::kIdExpired, "id_expired"},
    {RefusalReason::kIdReused, "id_reused"},
    {RefusalReason::kHolderUnreachable, "holder_unreachable"},
    {RefusalReason::kHolderGone, "holder_gone"},
    {RefusalReason::kNotReady, "not_ready"},
    {RefusalReason::kShuttingDown, "shutting_down"},
    {RefusalReason::kTooLarge, "too_large"},
    {RefusalReason::kLost, "lost"},
}}};

}  // namespace

std::string_view ToString(RefusalReason reason) {
  return kNames.NameOf(reason);
}

std::optional<RefusalReason> ParseRefusalReason(std::string_view name) {
  return kNames.ValueOf(name);
}

}  // namespace bramleyspoke
