#pragma once

#include <functional>
#include <memory>

#include "process/contact_report.h"

namespace bramleyspoke {

class EventLoop;
class Timer;

/// Calls back when other daemons are to be told that this daemon has lost or
/// regained its contact to the leafs. Used on the loop's thread only.
class ContactNotifier {
 public:
  ContactNotifier(EventLoop& loop, std::function<void(bool)> on_cut_off);
  ~ContactNotifier();

  void OnChange(ContactState state);
  /// Whether this daemon has been told of as cut off.
  bool IsCutOff() const { return m_is_cut_off; }

 private:
  void Update();

  EventLoop& m_loop;
  std::function<void(bool)> m_on_cut_off;
  ContactReport m_report;
  bool m_is_cut_off = false;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bramleyspoke
