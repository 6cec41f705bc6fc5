#include "process/contact_notifier.h"

#include <chrono>
#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {

ContactNotifier::ContactNotifier(EventLoop& loop,
                                 std::function<void(bool)> on_cut_off)
    : m_loop(loop), m_on_cut_off(std::move(on_cut_off)) {}

ContactNotifier::~ContactNotifier() = default;

void ContactNotifier::OnChange(ContactState state) {
  m_report.OnChange(state, std::chrono::steady_clock::now());
  Update();
}

void ContactNotifier::Update() {
  const TimePoint now = std::chrono::steady_clock::now();
  const bool is_cut_off = m_report.IsCutOff(now);
  if (std::exchange(m_is_cut_off, is_cut_off) != is_cut_off) {
    m_on_cut_off(is_cut_off);
  }
  m_timer.reset();
  if (const auto next = m_report.NextChange(now)) {
    m_timer = m_loop.At(*next, [this] { Update(); });
  }
}

}  // namespace bramleyspoke
