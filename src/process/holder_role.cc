#include "process/holder_role.h"

namespace bramleyspoke {

void HolderRole::Update(bool is_registered, bool is_chosen) {
  if (!m_are_leafs_known || !is_registered) {
    return;
  }
  m_is_settled = true;
  m_is_holder = is_chosen;
}

void HolderRole::OnRegistrationOverdue() {
  if (!m_is_settled) {
    m_is_holder = true;
  }
}

}  // namespace bramleyspoke
