#include "request/relay_leaf.h"

#include <algorithm>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

// How long a leaf that closed a new connection gets no more concurrent attempts
// than were in flight then.
constexpr Duration kReducedShareTime = std::chrono::seconds(1);

constexpr EnumNames<LeafState, 9> kNames{{{
    {LeafState::kReady, "ready"},
    {LeafState::kDraining, "draining"},
    {LeafState::kEjected, "ejected"},
    {LeafState::kFull, "full"},
    {LeafState::kRateLimited, "rate_limited"},
    {LeafState::kPaused, "paused"},
    {LeafState::kDrained, "drained"},
    {LeafState::kUnreachable, "unreachable"},
    {LeafState::kGone, "gone"},
}}};

}  // namespace

std::string_view ToString(LeafState state) {
  return kNames.NameOf(state);
}

LeafState StateOf(const RelayLeaf& leaf, TimePoint now) {
  if (leaf.is_gone) {
    return LeafState::kGone;
  }
  if (leaf.load.IsUnreachable(now)) {
    return LeafState::kUnreachable;
  }
  if (leaf.draining_since &&
      now >= *leaf.draining_since + RelayLeaf::kDrainGracePeriod) {
    return LeafState::kDrained;
  }
  if (leaf.pause.IsPaused(now)) {
    return LeafState::kPaused;
  }
  if (leaf.rate_limit.IsUsedUp(now)) {
    return LeafState::kRateLimited;
  }
  if (leaf.load.InFlight() >= leaf.AttemptLimit(now)) {
    return LeafState::kFull;
  }
  if (leaf.draining_since) {
    return LeafState::kDraining;
  }
  return leaf.load.IsUsable(now) ? LeafState::kReady : LeafState::kEjected;
}

// A leaf with a long queue accepts fewer connections than its limit, so the
// number of attempts in flight now, at least 1, becomes the limit.
void RelayLeaf::OnConnectionRefused(TimePoint now) {
  reduced_share = std::max<std::uint32_t>(1, load.InFlight());
  reduced_until = now + kReducedShareTime;
}

bool RelayLeaf::OnLeaving(TimePoint now) {
  draining_since = draining_since.value_or(now);
  const bool is_news = !leaving_said_at;
  leaving_said_at = now;
  return is_news;
}

void RelayLeaf::TakeAnnouncements(const RelayLeaf& earlier, TimePoint since) {
  if (earlier.leaving_said_at && *earlier.leaving_said_at >= since) {
    leaving_said_at = earlier.leaving_said_at;
    draining_since = earlier.draining_since;
  }
  if (earlier.rate_limit.NamedAt() >= since) {
    rate_limit = earlier.rate_limit;
  }
  if (earlier.pause.AskedAt() >= since) {
    pause = earlier.pause;
  }
}

}  // namespace bramleyspoke
