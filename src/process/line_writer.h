#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace bramleyspoke {

/// Writes lines to a file descriptor without waiting for its reader.
///
/// Lines that are longer than `PIPE_BUF`, or that the pipe cannot take at once,
/// are lost and counted. The next line that fits is preceded by one that
/// reports the number of lost lines.
class LineWriter {
 public:
  /// `describe_lost` returns the line that reports this number of lost
  /// lines.
  LineWriter(int descriptor,
             std::function<std::string(std::uint64_t)> describe_lost);

  /// Writes `line`, which has no line feed, or counts it as lost. May be called
  /// from any thread.
  void Write(std::string_view line);

 private:
  bool IsWritable() const;
  bool WriteAll(std::string_view text) const;

  const int m_descriptor;
  const std::function<std::string(std::uint64_t)> m_describe_lost;
  std::mutex m_mutex;
  std::uint64_t m_lost_lines = 0;
};

}  // namespace bramleyspoke
