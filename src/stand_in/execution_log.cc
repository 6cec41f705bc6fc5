#include "stand_in/execution_log.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "base/enum_names.h"

namespace bramleyspoke::StandIn {
namespace {

constexpr std::size_t kMaxRecords = 400'000;
constexpr std::size_t kMaxLines = 20'000;

constexpr EnumNames<ExecutionEvent, 6> kNames{{{
    {ExecutionEvent::kReceived, "received"},
    {ExecutionEvent::kStarted, "started"},
    {ExecutionEvent::kFinished, "finished"},
    {ExecutionEvent::kCancelled, "cancelled"},
    {ExecutionEvent::kCrashed, "crashed"},
    {ExecutionEvent::kRefused, "refused"},
}}};

}  // namespace

std::string_view ToString(ExecutionEvent event) {
  return kNames.NameOf(event);
}

void ExecutionLog::Add(std::string_view leaf,
                       ExecutionEvent event,
                       const Attempt& attempt) {
  Record record{0, std::chrono::steady_clock::now(), std::string(leaf), event,
                attempt};
  record.attempt.query.clear();
  const std::lock_guard lock(m_mutex);
  record.number = ++m_last_number;
  m_records.push_back(std::move(record));
  if (m_records.size() > kMaxRecords) {
    m_records.pop_front();
  }
}

// Encodes outside the lock, so that a reader does not block the leafs.
std::string ExecutionLog::LinesSince(std::uint64_t since) const {
  std::string text;
  for (const Record& record : RecordsSince(since)) {
    text += Encode(record);
    text += '\n';
  }
  return text;
}

std::vector<ExecutionLog::Record> ExecutionLog::RecordsSince(
    std::uint64_t since) const {
  const std::lock_guard lock(m_mutex);
  const std::uint64_t first = m_last_number - m_records.size() + 1;
  const std::size_t from = since > first ? since - first : 0;
  const std::size_t begin = std::min(from, m_records.size());
  const std::size_t end = std::min(begin + kMaxLines, m_records.size());
  return {m_records.begin() + static_cast<std::ptrdiff_t>(begin),
          m_records.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::string ExecutionLog::Encode(const Record& record) {
  const Attempt& attempt = record.attempt;
  return boost::json::serialize(
      boost::json::object{{"seq", record.number},
                          {"at_ns", record.at.time_since_epoch().count()},
                          {"leaf", record.leaf},
                          {"event", ToString(record.event)},
                          {"request_id", attempt.request_id},
                          {"attempt_id", attempt.attempt_id},
                          {"service", attempt.service},
                          {"shard", attempt.shard},
                          {"version", attempt.version.number},
                          {"layout", attempt.version.layout},
                          {"idempotent", attempt.idempotent}});
}

}  // namespace bramleyspoke::StandIn
