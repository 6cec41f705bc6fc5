#pragma once

#include <optional>

#include "base/time.h"
#include "request/leaf_contact.h"

namespace bramleyspoke {

/// Decides when other daemons and callers are told of a change of this daemon's
/// contact to the leafs.
///
/// A loss is told at once. The first return is told at once too; if the contact
/// is lost again soon after a return, the next one has to last for some time
/// before it is told, and longer each time.
class ContactReport {
 public:
  /// A loss this soon after a return is a relapse.
  static constexpr Duration kRelapseTime = std::chrono::seconds(10);
  /// How long a return has to last after the first relapse, and at most.
  static constexpr Duration kInitialHold = std::chrono::seconds(1);
  static constexpr Duration kMaxHold = std::chrono::seconds(8);

  /// `kDoubtful` changes nothing.
  void OnChange(ContactState state, TimePoint now);
  /// Whether this daemon is to be told of as cut off.
  bool IsCutOff(TimePoint now) const;
  /// When `IsCutOff` changes without a further event; empty if it does not.
  std::optional<TimePoint> NextChange(TimePoint now) const;

 private:
  void OnLost(TimePoint now);

  bool m_is_lost = false;
  Duration m_hold{0};
  std::optional<TimePoint> m_returned_at;
};

}  // namespace bramleyspoke
