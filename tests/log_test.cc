#include "process/log.h"

#include <doctest/doctest.h>

namespace bramleyspoke {

TEST_CASE("a log line is one JSON object with typed fields") {
  const std::string line = Detail::FormatLogLine(
      "2026-12-03T20:31:00.000Z", LogLevel::kWarning, "search_refused",
      {Field("request_id", "a~\"1\"\n"), Field("attempts", 21U),
       Field("coverage", 0.5), Field("forwarded", true)});
  CHECK(line == R"({"time":"2026-12-03T20:31:00.000Z","level":"warning",)"
                R"("event":"search_refused","request_id":"a~\"1\"\n",)"
                R"("attempts":21,"coverage":5E-1,"forwarded":true})");
}

TEST_CASE("the log's level can change while running") {
  StartLog(LogLevel::kError);
  CHECK_FALSE(IsLogged(LogLevel::kWarning));
  SetLogLevel(LogLevel::kDebug);
  CHECK(GetLogLevel() == LogLevel::kDebug);
  CHECK(IsLogged(LogLevel::kDebug));
  SetLogLevel(LogLevel::kError);
  CHECK_FALSE(IsLogged(LogLevel::kDebug));
}

TEST_CASE("a level's name leads back to it") {
  CHECK(ParseLogLevel("warning") == LogLevel::kWarning);
  CHECK_FALSE(ParseLogLevel("loud"));
}

}  // namespace bramleyspoke
