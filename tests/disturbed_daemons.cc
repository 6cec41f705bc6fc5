#include "disturbed_daemons.h"

#include <csignal>

namespace bramleyspoke {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

DisturbedDaemons::DisturbedDaemons(std::vector<RelayProcess*> daemons,
                                   Duration stable_window)
    : m_stable_window(stable_window) {
  for (RelayProcess* daemon : daemons) {
    m_states.push_back({daemon, {}, false});
  }
}

DisturbedDaemons::~DisturbedDaemons() {
  for (const State& state : m_states) {
    state.daemon->Signal(SIGCONT);
  }
}

void DisturbedDaemons::Restart(std::size_t daemon) {
  m_states.at(daemon).daemon->Restart();
  OnDisturbed(daemon);
}

std::vector<std::size_t> DisturbedDaemons::RestartEnded() {
  std::vector<std::size_t> ended;
  for (std::size_t daemon = 0; daemon < m_states.size(); ++daemon) {
    if (!m_states[daemon].daemon->IsRunning()) {
      ended.push_back(daemon);
      Restart(daemon);
    }
  }
  return ended;
}

void DisturbedDaemons::Pause(std::size_t daemon, Duration duration) {
  State& state = m_states.at(daemon);
  OnDisturbed(daemon);
  state.is_paused = true;
  state.disturbed_until = Now() + duration;
  state.daemon->Signal(SIGSTOP);
}

void DisturbedDaemons::ResumeDue() {
  for (std::size_t daemon = 0; daemon < m_states.size(); ++daemon) {
    State& state = m_states[daemon];
    if (state.is_paused && Now() >= state.disturbed_until) {
      state.is_paused = false;
      state.daemon->Signal(SIGCONT);
      OnDisturbed(daemon);
    }
  }
}

void DisturbedDaemons::OnDisturbed(std::size_t daemon) {
  m_states.at(daemon).disturbed_until = Now();
}

bool DisturbedDaemons::IsPaused(std::size_t daemon) const {
  return m_states.at(daemon).is_paused;
}

bool DisturbedDaemons::IsInTouch(std::size_t daemon) const {
  const State& state = m_states.at(daemon);
  return !state.is_paused && Now() - state.disturbed_until >= m_stable_window;
}

}  // namespace bramleyspoke
