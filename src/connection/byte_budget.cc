#include "connection/byte_budget.h"

#include <utility>

namespace bramleyspoke {

ByteClaim::ByteClaim(std::shared_ptr<ByteBudget> budget)
    : m_budget(std::move(budget)) {}

ByteClaim::~ByteClaim() {
  Release();
}

ByteClaim::ByteClaim(ByteClaim&& other) noexcept
    : m_budget(std::move(other.m_budget)),
      m_bytes(std::exchange(other.m_bytes, 0)) {}

ByteClaim& ByteClaim::operator=(ByteClaim&& other) noexcept {
  if (this != &other) {
    Release();
    m_budget = std::move(other.m_budget);
    m_bytes = std::exchange(other.m_bytes, 0);
  }
  return *this;
}

bool ByteClaim::GrowTo(std::size_t bytes) {
  if (!m_budget || bytes <= m_bytes) {
    return true;
  }
  const std::size_t used = m_budget->m_used + (bytes - m_bytes);
  if (used > m_budget->m_limit && bytes > kFreeBytes) {
    return false;
  }
  m_budget->m_used = used;
  m_bytes = bytes;
  return true;
}

void ByteClaim::Release() {
  if (m_budget) {
    m_budget->m_used -= m_bytes;
  }
  m_bytes = 0;
}

}  // namespace bramleyspoke
