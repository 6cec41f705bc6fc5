#include "process/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <utility>

namespace bramleyspoke {
namespace {

// A pipe that is ready for writing accepts this many bytes without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

}  // namespace

LineWriter::LineWriter(int descriptor,
                       std::function<std::string(std::uint64_t)> describe_lost)
    : m_descriptor(descriptor), m_describe_lost(std::move(describe_lost)) {}

// The descriptor is not set to O_NONBLOCK, since that flag is shared with all
// other processes that have it open, such as the shell of a terminal.
void LineWriter::Write(std::string_view line) {
  const std::lock_guard lock(m_mutex);
  std::string text;
  if (m_lost_lines > 0) {
    text = m_describe_lost(m_lost_lines) + "\n";
  }
  text.append(line).append("\n");
  if (text.size() > kMaxWriteBytes || !IsWritable() || !WriteAll(text)) {
    ++m_lost_lines;
    return;
  }
  m_lost_lines = 0;
}

bool LineWriter::IsWritable() const {
  pollfd state{m_descriptor, POLLOUT, 0};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

bool LineWriter::WriteAll(std::string_view text) const {
  while (!text.empty()) {
    const ssize_t written = write(m_descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace bramleyspoke
