#include "stand_in/execution_log.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "base/enum_names.h"

namespace bramleyspoke::StandIn {
namespace {

constexpr std::size_t kMaxRecords = 200'000;

constexpr EnumNames<ExecutionEvent, 6> kNames{{{
    {ExecutionEvent::kReceived, "received"},
    {ExecutionEvent::kStarted, "started"},
    {ExecutionEvent::kFinished, "finished"},
    {ExecutionEvent::kCancelled, "cancelled"},
    {ExecutionEvent::kCrashed, "crashed"},
    {ExecutionEvent::kRefused, "refused"},
}}};

std::string EncodeRecord(std::uint64_t seq,
                         TimePoint at,
                         std::string_view leaf,
                         ExecutionEvent event,
                         const Attempt& attempt) {
  return boost::json::serialize(
      boost::json::object{{"seq", seq},
                          {"at_ns", at.time_since_epoch().count()},
                          {"leaf", leaf},
                          {"event", ToString(event)},
                          {"request_id", attempt.request_id},
                          {"attempt_id", attempt.attempt_id},
                          {"service", attempt.service},
                          {"shard", attempt.shard},
                          {"version", attempt.version.number},
                          {"layout", attempt.version.layout},
                          {"idempotent", attempt.idempotent}});
}

}  // namespace

std::string_view ToString(ExecutionEvent event) {
  return kNames.NameOf(event);
}

void ExecutionLog::Add(std::string_view leaf,
                       ExecutionEvent event,
                       const Attempt& attempt) {
  const std::lock_guard lock(m_mutex);
  const TimePoint now = std::chrono::steady_clock::now();
  m_lines.push_back(
      EncodeRecord(m_first + m_lines.size(), now, leaf, event, attempt));
  if (m_lines.size() > kMaxRecords) {
    m_lines.pop_front();
    ++m_first;
  }
}

std::string ExecutionLog::LinesSince(std::uint64_t since) const {
  const std::lock_guard lock(m_mutex);
  const std::uint64_t from = std::max(since, m_first);
  std::string text;
  for (std::size_t i = from - m_first; i < m_lines.size(); ++i) {
    text += m_lines[i];
    text += '\n';
  }
  return text;
}

}  // namespace bramleyspoke::StandIn
