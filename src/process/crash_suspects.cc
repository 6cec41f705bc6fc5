#include "process/crash_suspects.h"

#include <utility>

#include "base/problems.h"
#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

CrashSuspects::CrashSuspects(
    EventLoop& loop,
    KeyValueStore& store,
    const StoreSchema& schema,
    const std::string& own_key,
    std::function<void(const CrashSuspect&)> on_suspect)
    : m_loop(loop),
      m_schema(schema),
      m_rewrite_delay(std::chrono::milliseconds(
          std::hash<std::string>()(own_key) %
          static_cast<std::size_t>(kRewriteSpread.count()))),
      m_on_suspect(std::move(on_suspect)),
      m_writer(loop, store) {}

void CrashSuspects::Add(const CrashSuspect& suspect) {
  const std::string key = m_schema.CrashSuspectKey(suspect);
  Keep(key, suspect);
  m_writer.Write(key, m_schema.WriteCrashSuspect(suspect));
}

void CrashSuspects::AddFromPeer(const CrashSuspect& suspect) {
  Keep(m_schema.CrashSuspectKey(suspect), suspect);
  m_on_suspect(suspect);
}

void CrashSuspects::ApplyEntry(const std::string& key,
                               const std::string& value) {
  const auto read = Check([&] { return m_schema.ReadCrashSuspect(value); });
  if (!read.value) {
    WriteLog(LogLevel::kWarning, "crash_suspect_refused",
             {Field("key", key), Field("problems", ToString(read.problems))});
    return;
  }
  m_writer.OnStored(key);
  if (Keep(key, *read.value)) {
    WriteLog(LogLevel::kInfo, "crash_suspect_read", {Field("key", key)});
  }
  m_on_suspect(*read.value);
}

void CrashSuspects::RemoveEntry(const std::string& key) {
  m_suspects.erase(key);
  m_writer.OnRemoved(key);
}

void CrashSuspects::OnNewEra() {
  m_writer.OnNewEra();
}

// The writer leaves out the entries that another daemon has written by then.
void CrashSuspects::RewriteMissing() {
  m_rewrite_timer = m_loop.At(Now() + m_rewrite_delay, [this] {
    for (const auto& [key, kept] : m_suspects) {
      if (Now() < kept.expires_at) {
        m_writer.Write(key, m_schema.WriteCrashSuspect(kept.suspect));
      }
    }
  });
}

std::vector<CrashSuspect> CrashSuspects::Values() const {
  std::vector<CrashSuspect> suspects;
  for (const auto& [key, kept] : m_suspects) {
    if (Now() < kept.expires_at) {
      suspects.push_back(kept.suspect);
    }
  }
  return suspects;
}

bool CrashSuspects::Keep(const std::string& key, const CrashSuspect& suspect) {
  std::erase_if(m_suspects, [](const auto& entry) {
    return Now() >= entry.second.expires_at;
  });
  const TimePoint expires_at =
      Now() + Duration(CrashSuspectWriter::kTimeToLive);
  return m_suspects.emplace(key, Kept{suspect, expires_at}).second;
}

}  // namespace bramleyspoke
