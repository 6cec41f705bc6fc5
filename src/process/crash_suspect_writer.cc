#include "process/crash_suspect_writer.h"

#include <algorithm>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {

CrashSuspectWriter::CrashSuspectWriter(EventLoop& loop, KeyValueStore& store)
    : m_loop(loop),
      m_store(store),
      m_self(std::make_shared<CrashSuspectWriter*>(this)) {}

CrashSuspectWriter::~CrashSuspectWriter() = default;

void CrashSuspectWriter::Write(const std::string& key,
                               const std::string& value) {
  const bool is_waiting =
      std::any_of(m_waiting.begin(), m_waiting.end(),
                  [&](const Entry& entry) { return entry.key == key; });
  if (is_waiting || m_stored.contains(key)) {
    return;
  }
  if (m_waiting.size() >= kMaxWaiting) {
    WriteLog(LogLevel::kWarning, "crash_suspect_not_stored",
             {Field("key", key), Field("waiting", m_waiting.size())});
    return;
  }
  m_waiting.push_back({key, value});
  WriteNext();
}

void CrashSuspectWriter::OnStored(const std::string& key) {
  m_stored.insert(key);
}

void CrashSuspectWriter::OnNewEra() {
  ++m_call_number;
  m_is_writing = false;
  m_lease = 0;
  m_stored.clear();
  m_timer.reset();
  WriteNext();
}

void CrashSuspectWriter::WriteNext() {
  if (m_is_writing || m_waiting.empty()) {
    return;
  }
  m_is_writing = true;
  m_store.Grant(kTimeToLive, MakeCallback<const LeaseGrant&>(
                                 &CrashSuspectWriter::OnGranted));
}

// Another daemon may have written the entry in the meantime; writing it again
// only renews it.
void CrashSuspectWriter::OnGranted(const LeaseGrant& grant) {
  if (grant.status != KeyValueStatus::kOk) {
    m_is_writing = false;
    ScheduleCall(&CrashSuspectWriter::WriteNext);
    return;
  }
  m_lease = grant.lease;
  Put();
}

void CrashSuspectWriter::Put() {
  const Entry& entry = m_waiting.front();
  m_store.Put(entry.key, entry.value, m_lease,
              MakeCallback<KeyValueStatus>(&CrashSuspectWriter::OnPut));
}

void CrashSuspectWriter::OnPut(KeyValueStatus status) {
  if (status == KeyValueStatus::kNotFound) {
    m_is_writing = false;
    ScheduleCall(&CrashSuspectWriter::WriteNext);
    return;
  }
  if (status != KeyValueStatus::kOk) {
    ScheduleCall(&CrashSuspectWriter::Put);
    return;
  }
  const std::string key = m_waiting.front().key;
  m_waiting.pop_front();
  m_stored.insert(key);
  WriteLog(LogLevel::kWarning, "crash_suspect_stored",
           {Field("key", key), Field("lease", m_lease)});
  m_is_writing = false;
  WriteNext();
}

void CrashSuspectWriter::ScheduleCall(void (CrashSuspectWriter::*call)()) {
  m_timer = m_loop.At(std::chrono::steady_clock::now() + Duration(kRetryDelay),
                      [this, call] { (this->*call)(); });
}

template <typename Result>
std::function<void(Result)> CrashSuspectWriter::MakeCallback(
    void (CrashSuspectWriter::*handler)(Result)) {
  return [weak = std::weak_ptr(m_self), number = ++m_call_number,
          handler](Result result) {
    const auto self = weak.lock();
    if (self && (*self)->m_call_number == number) {
      ((*self)->*handler)(result);
    }
  };
}

}  // namespace bramleyspoke
