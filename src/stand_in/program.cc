#include "stand_in/program.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>

namespace bramleyspoke::StandIn {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

int RunProgram(const std::function<Result<void>()>& body) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(body());
        return 0;
      },
      [](const Problems& problems) {
        for (const Problem& problem : problems.list) {
          std::cerr << problem.path << ": expected " << problem.expected
                    << "\n";
        }
        return 2;
      },
      [] {
        std::cerr << "unexpected error\n";
        return 1;
      });
}

}  // namespace bramleyspoke::StandIn
