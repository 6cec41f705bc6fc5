#include "process/log.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <string>

#include "process/line_writer.h"

namespace bramleyspoke {
namespace {

// A pipe that is read only by `ReadAll`.
class ManuallyReadPipe {
 public:
  ManuallyReadPipe() { REQUIRE(pipe(m_ends.data()) == 0); }
  ~ManuallyReadPipe() {
    close(m_ends[0]);
    close(m_ends[1]);
  }
  int WriteEnd() const { return m_ends[1]; }

  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> buffer{};
    pollfd state{m_ends[0], POLLIN, 0};
    while (poll(&state, 1, 0) == 1) {
      const auto size = read(m_ends[0], buffer.data(), buffer.size());
      REQUIRE(size > 0);
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> m_ends{};
};

}  // namespace

TEST_CASE("an output that is not read does not block the writer") {
  const ManuallyReadPipe output;
  LineWriter writer(output.WriteEnd(), [](std::uint64_t lines) {
    return "lost " + std::to_string(lines);
  });
  const std::string line(1000, 'x');
  constexpr int kLines = 1000;
  for (int i = 0; i < kLines; ++i) {
    writer.Write(line);
  }
  const std::size_t kept = output.ReadAll().size() / (line.size() + 1);
  CHECK(kept > 0);
  CHECK(kept < kLines);
  writer.Write("next");
  CHECK(output.ReadAll() ==
        "lost " + std::to_string(kLines - kept) + "\nnext\n");
  writer.Write("more");
  CHECK(output.ReadAll() == "more\n");
}

TEST_CASE(
    "a line too long for one write to the pipe is lost, and the loss is "
    "reported") {
  const ManuallyReadPipe output;
  LineWriter writer(output.WriteEnd(),
                    [](std::uint64_t) { return std::string("lost"); });
  writer.Write(std::string(100000, 'x'));
  writer.Write("next");
  CHECK(output.ReadAll() == "lost\nnext\n");
}

TEST_CASE("a log line is one JSON object with typed fields") {
  const std::string line = Detail::FormatLogLine(
      "2026-12-03T20:31:00.000Z", LogLevel::kWarning, "search_refused",
      {Field("request_id", "a~\"1\"\n"), Field("attempts", 21U),
       Field("coverage", 0.5), Field("forwarded", true)});
  CHECK(line == R"({"time":"2026-12-03T20:31:00.000Z","level":"warning",)"
                R"("event":"search_refused","request_id":"a~\"1\"\n",)"
                R"("attempts":21,"coverage":5E-1,"forwarded":true})");
}

TEST_CASE("the log level can be changed at run time") {
  StartLog(LogLevel::kError);
  CHECK_FALSE(IsLogged(LogLevel::kWarning));
  SetLogLevel(LogLevel::kDebug);
  CHECK(GetLogLevel() == LogLevel::kDebug);
  CHECK(IsLogged(LogLevel::kDebug));
  SetLogLevel(LogLevel::kError);
  CHECK_FALSE(IsLogged(LogLevel::kDebug));
}

TEST_CASE("a log level is parsed from its name") {
  CHECK(ParseLogLevel("warning") == LogLevel::kWarning);
  CHECK_FALSE(ParseLogLevel("loud"));
}

}  // namespace bramleyspoke
