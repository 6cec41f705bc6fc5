#pragma once

#include <memory>
#include <string_view>

#include "process/planned_stop.h"

namespace bramleyspoke {

class EventLoop;
class HttpServer;
class RelayFront;
class Timer;

/// Carries out the planned stop of a relaying daemon: tells the callers' server
/// and the front what to do in each of its steps. Used on the loop's thread.
class RelayStop {
 public:
  /// The references must outlive the object. The loop is stopped at the end.
  RelayStop(EventLoop& loop,
            Duration grace,
            HttpServer& callers,
            RelayFront& front);
  ~RelayStop();

  void Begin();
  bool IsStopping() const { return m_stop.IsStopping(); }
  /// Whether new requests are served.
  bool AcceptsRequests() const { return m_stop.AcceptsRequests(); }
  /// Logs the end of the stop; returns whether all requests were answered.
  bool ReportEnd() const;

 private:
  void Check();
  void EnterStep(StopStep step);
  void WriteLine(std::string_view event) const;

  EventLoop& m_loop;
  PlannedStop m_stop;
  HttpServer& m_callers;
  RelayFront& m_front;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke
