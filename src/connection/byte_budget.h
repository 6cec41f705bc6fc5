#pragma once

#include <cstddef>
#include <memory>

namespace bramleyspoke {

/// Memory that responses may take while they are read, of all connections
/// together. Used on one thread only.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : m_limit(limit) {}

  std::size_t Used() const { return m_used; }

 private:
  friend class ByteClaim;

  std::size_t m_limit;
  std::size_t m_used = 0;
};

/// What one response takes of a `ByteBudget`, until it is destroyed.
class ByteClaim {
 public:
  /// Size that a response may always have: others that are too long do not make
  /// it fail.
  static constexpr std::size_t kFreeBytes = std::size_t{64} * 1024;

  /// Without a budget, nothing is limited.
  explicit ByteClaim(std::shared_ptr<ByteBudget> budget = nullptr);
  ~ByteClaim();
  ByteClaim(ByteClaim&& other) noexcept;
  ByteClaim& operator=(ByteClaim&& other) noexcept;
  ByteClaim(const ByteClaim&) = delete;
  ByteClaim& operator=(const ByteClaim&) = delete;

  /// Records that the response has `bytes` now; false if the budget does not
  /// allow it.
  bool GrowTo(std::size_t bytes);

 private:
  void Release();

  std::shared_ptr<ByteBudget> m_budget;
  std::size_t m_bytes = 0;
};

}  // namespace bramleyspoke
