#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "relay_process.h"

namespace bramleyspoke {

/// Restarts and pauses daemons of a soak, and remembers when each was last
/// disturbed.
class DisturbedDaemons {
 public:
  /// `stable_window` is the time after a disturbance in which the users' rules
  /// do not hold for a daemon.
  DisturbedDaemons(std::vector<RelayProcess*> daemons, Duration stable_window);
  /// Resumes the paused daemons.
  ~DisturbedDaemons();
  DisturbedDaemons(const DisturbedDaemons&) = delete;
  DisturbedDaemons& operator=(const DisturbedDaemons&) = delete;

  void Restart(std::size_t daemon);
  /// Restarts the daemons that have ended by themselves; returns which.
  std::vector<std::size_t> RestartEnded();
  void Pause(std::size_t daemon, Duration duration);
  /// Resumes the daemons whose pause is over.
  void ResumeDue();
  /// Remembers another disturbance, which ends now.
  void OnDisturbed(std::size_t daemon);

  bool IsPaused(std::size_t daemon) const;
  /// Whether the daemon has been undisturbed for the stable window.
  bool IsInTouch(std::size_t daemon) const;

 private:
  struct State {
    RelayProcess* daemon = nullptr;
    TimePoint disturbed_until;
    bool is_paused = false;
  };

  std::vector<State> m_states;
  Duration m_stable_window;
};

}  // namespace bramleyspoke
