#include "process/relay_stop.h"

#include <chrono>

#include "connection/event_loop.h"
#include "connection/http_server.h"
#include "process/log.h"
#include "process/relay_front.h"

namespace bramleyspoke {
namespace {

// Interval at which a planned stop checks for remaining work.
constexpr std::chrono::milliseconds kCheckInterval{50};

}  // namespace

RelayStop::RelayStop(EventLoop& loop,
                     Duration grace,
                     HttpServer& callers,
                     RelayFront& front)
    : m_loop(loop),
      m_stop(PlannedStopOptions::Within(grace)),
      m_callers(callers),
      m_front(front) {}

RelayStop::~RelayStop() = default;

void RelayStop::Begin() {
  m_stop.Begin(std::chrono::steady_clock::now());
  WriteLine("stop_begun");
  m_front.BeginStop(m_stop.Schedule());
  m_callers.EndKeepAlive();
  Check();
}

void RelayStop::Check() {
  const TimePoint now = std::chrono::steady_clock::now();
  const std::size_t left = m_callers.ConnectionCount() + m_front.InFlight();
  const StopStep before = m_stop.Step();
  const StopStep step = m_stop.Update(left, now);
  if (step != before) {
    EnterStep(step);
  }
  if (step != StopStep::kDone) {
    m_timer = m_loop.At(now + Duration(kCheckInterval), [this] { Check(); });
  }
}

void RelayStop::EnterStep(StopStep step) {
  switch (step) {
    case StopStep::kServing:
    case StopStep::kLeaving:
      return;
    case StopStep::kFinishing:
      WriteLine("stop_finishing");
      m_callers.BeginShutdown();
      return;
    case StopStep::kSending:
      WriteLine("stop_sending");
      m_front.RefuseHeld();
      m_callers.RefuseUnread();
      return;
    case StopStep::kDone:
      m_loop.Stop();
      return;
  }
}

bool RelayStop::ReportEnd() const {
  WriteLine("stopped");
  return !m_stop.HasInterruptedRequests();
}

// Requests that were only read in part, held or half answered are the
// difference between the connections and the requests.
void RelayStop::WriteLine(std::string_view event) const {
  const RequestStages stages = m_front.Engine().Stages();
  WriteLog(
      LogLevel::kInfo, event,
      {Field("connections", m_callers.ConnectionCount()),
       Field("in_flight", m_front.InFlight()), Field("waiting", stages.waiting),
       Field("at_leafs", stages.at_leafs), Field("at_peers", stages.at_peers),
       Field("cut_off", m_stop.HasInterruptedRequests())});
}

}  // namespace bramleyspoke
