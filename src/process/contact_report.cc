#include "process/contact_report.h"

#include <algorithm>

namespace bramleyspoke {

void ContactReport::OnChange(ContactState state, TimePoint now) {
  switch (state) {
    case ContactState::kDoubtful:
      return;
    case ContactState::kCutOff:
      OnLost(now);
      return;
    case ContactState::kInContact:
      break;
  }
  if (m_is_lost) {
    m_is_lost = false;
    m_returned_at = now;
  }
}

void ContactReport::OnLost(TimePoint now) {
  if (m_is_lost) {
    return;
  }
  const bool is_relapse =
      m_returned_at && now - *m_returned_at < kRelapseTime + m_hold;
  m_hold = is_relapse ? std::clamp(m_hold * 2, Duration(kInitialHold),
                                   Duration(kMaxHold))
                      : Duration(0);
  m_is_lost = true;
}

bool ContactReport::IsCutOff(TimePoint now) const {
  return m_is_lost || (m_returned_at && now < *m_returned_at + m_hold);
}

std::optional<TimePoint> ContactReport::NextChange(TimePoint now) const {
  if (m_is_lost || !IsCutOff(now)) {
    return std::nullopt;
  }
  return *m_returned_at + m_hold;
}

}  // namespace bramleyspoke
