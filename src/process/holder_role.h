#pragma once

namespace bramleyspoke {

/// Decides whether a daemon acts as a holder.
///
/// A daemon that takes itself for a holder opens connections to all leafs. If
/// all daemons of a large fleet did so at their start, the leafs would reset
/// most of the connections, so a daemon begins as a standby.
class HolderRole {
 public:
  /// Leafs are known; the number of holders depends on them.
  void OnLeafsKnown() { m_are_leafs_known = true; }
  /// Daemons or leafs have changed. The role stays as it is while this daemon's
  /// own entry is missing.
  void Update(bool is_registered, bool is_chosen);
  /// This daemon is not registered in time, as the store is unavailable. It
  /// then serves as a holder.
  void OnRegistrationOverdue();

  /// Whether the role follows from the entries of daemons and leafs.
  bool IsSettled() const { return m_is_settled; }
  bool IsHolder() const { return m_is_holder; }

 private:
  bool m_are_leafs_known = false;
  bool m_is_settled = false;
  bool m_is_holder = false;
};

}  // namespace bramleyspoke
