#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// Writes lines to a descriptor without waiting for its reader.
///
/// What a pipe does not hold is left out and counted; the next line that fits
/// is preceded by one that says how many are missing.
class LineWriter {
 public:
  /// `describe_lost` makes the line about that many lost ones.
  LineWriter(int descriptor,
             std::function<std::string(std::uint64_t)> describe_lost);

  /// From any thread; `line` is without its end.
  void Write(std::string_view line);

 private:
  bool HasRoom() const;
  bool WriteAll(std::string_view text) const;

  const int m_descriptor;
  const std::function<std::string(std::uint64_t)> m_describe_lost;
  std::mutex m_mutex;
  std::uint64_t m_lost = 0;
};

}  // namespace bramleyspoke
