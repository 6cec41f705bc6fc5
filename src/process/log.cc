#include "process/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>

#include "process/line_writer.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

// log4cxx's JSONLayout takes fields only from the thread's MDC: as strings,
// nested in "context_map", set and removed one by one around each call. The
// line is therefore built here as one JSON object with typed fields; log4cxx
// handles levels and passes the line to the appender.
constexpr const char* kLoggerName = "bramleyspoke";

std::atomic<LogLevel> g_level = LogLevel::kInfo;

log4cxx::LoggerPtr Logger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger(kLoggerName);
  return kLogger;
}

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

std::string UtcTimestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(millis % 1000));
  return std::string(text.data(), length) + fraction.data();
}

json::value FieldValue(const LogField& field) {
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    return json::string(text->data(), text->size());
  }
  if (const auto* integer = std::get_if<std::int64_t>(&field.value)) {
    return *integer;
  }
  if (const auto* real = std::get_if<double>(&field.value)) {
    return *real;
  }
  return std::get<bool>(field.value);
}

std::string FormatLostLines(std::uint64_t lines) {
  return Detail::FormatLogLine(UtcTimestamp(), LogLevel::kWarning,
                               "log_lines_lost", {Field("lines", lines)});
}

// Replaces log4cxx's console appender, which blocks when the reader of standard
// output is slow.
class StandardOutputAppender final : public log4cxx::AppenderSkeleton {
 public:
  StandardOutputAppender() : m_writer(STDOUT_FILENO, FormatLostLines) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    m_writer.Write(event->getMessage());
  }

 private:
  LineWriter m_writer;
};

json::string JsonString(std::string_view text) {
  return json::string(text.data(), text.size());
}

}  // namespace

std::string_view ToString(LogLevel level) {
  return kLogLevelNames.NameOf(level);
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  return kLogLevelNames.ValueOf(name);
}

void StartLog(LogLevel level) {
  Logger()->removeAllAppenders();
  Logger()->addAppender(std::make_shared<StandardOutputAppender>());
  Logger()->setAdditivity(false);
  SetLogLevel(level);
}

void SetLogLevel(LogLevel level) {
  Logger()->setLevel(ToLog4cxxLevel(level));
  g_level = level;
}

LogLevel GetLogLevel() {
  return g_level;
}

bool IsLogged(LogLevel level) {
  return level >= g_level.load(std::memory_order_relaxed);
}

void WriteLog(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) {
    return;
  }
  Logger()->log(ToLog4cxxLevel(level),
                Detail::FormatLogLine(UtcTimestamp(), level, event, fields));
}

namespace Detail {

std::string FormatLogLine(std::string_view time,
                          LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  json::object line;
  line["time"] = JsonString(time);
  line["level"] = JsonString(ToString(level));
  line["event"] = JsonString(event);
  for (const LogField& field : fields) {
    line[json::string_view(field.name.data(), field.name.size())] =
        FieldValue(field);
  }
  return json::serialize(line);
}

}  // namespace Detail

}  // namespace bramleyspoke
