#include "process/daemon_registration.h"

#include <algorithm>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {

DaemonRegistration::DaemonRegistration(EventLoop& loop,
                                       KeyValueStore& store,
                                       std::string key,
                                       std::string value,
                                       std::function<void()> on_unanswered)
    : m_loop(loop),
      m_store(store),
      m_key(std::move(key)),
      m_value(std::move(value)),
      m_on_unanswered(std::move(on_unanswered)),
      m_self(std::make_shared<DaemonRegistration*>(this)) {}

DaemonRegistration::~DaemonRegistration() = default;

void DaemonRegistration::Start() {
  Grant();
}

// The key moves to a new lease before the old one is revoked, so that it is
// never missing.
void DaemonRegistration::SetTimings(const StoreTimings& timings) {
  if (m_timings == timings) {
    return;
  }
  m_timings = timings;
  if (m_is_registered && !m_is_unregistered) {
    m_old_lease = m_lease;
    Grant();
  }
}

// A call that is outstanding is followed by another one with the new value.
void DaemonRegistration::SetValue(std::string value) {
  m_value = std::move(value);
  if (m_is_registered && !m_is_unregistered && m_value != m_put_value) {
    Put();
  }
}

void DaemonRegistration::Restore() {
  if (m_is_registered && !m_is_unregistered) {
    WriteLog(LogLevel::kWarning, "registration_missing",
             {Field("lease", m_lease)});
    Put();
  }
}

void DaemonRegistration::OnStored(const std::string& value) {
  if (m_is_registered && !m_is_unregistered && value != m_put_value) {
    WriteLog(LogLevel::kWarning, "registration_outdated",
             {Field("lease", m_lease)});
    Put();
  }
}

void DaemonRegistration::OnNewEra() {
  if (m_is_unregistered) {
    return;
  }
  ++m_call_number;
  m_is_registered = false;
  m_lease = 0;
  m_old_lease = 0;
  const auto delay = std::chrono::milliseconds(
      std::hash<std::string>()(m_key) %
      static_cast<std::size_t>(kNewEraSpread.count()));
  ScheduleCall(delay, &DaemonRegistration::Grant);
}

void DaemonRegistration::Unregister() {
  m_is_unregistered = true;
  m_timer.reset();
  if (m_old_lease != 0) {
    RevokeLease(m_old_lease);
  }
  if (m_lease == 0) {
    return;
  }
  m_store.Revoke(m_lease, [](KeyValueStatus status) {
    WriteLog(LogLevel::kInfo, "registration_ended",
             {Field("status", ToString(status))});
  });
}

template <typename Result>
std::function<void(Result)> DaemonRegistration::MakeCallback(
    void (DaemonRegistration::*handler)(Result)) {
  return [weak = std::weak_ptr(m_self), number = ++m_call_number,
          handler](Result result) {
    const auto self = weak.lock();
    if (self && !(*self)->m_is_unregistered &&
        (*self)->m_call_number == number) {
      ((*self)->*handler)(result);
    }
  };
}

void DaemonRegistration::Grant() {
  m_is_registered = false;
  m_timer.reset();
  m_store.Grant(m_timings.time_to_live, MakeCallback<const LeaseGrant&>(
                                            &DaemonRegistration::OnGranted));
}

void DaemonRegistration::OnGranted(const LeaseGrant& grant) {
  ReportIfUnanswered(grant.status);
  if (grant.status != KeyValueStatus::kOk) {
    Retry(&DaemonRegistration::Grant);
    return;
  }
  m_lease = grant.lease;
  Put();
}

void DaemonRegistration::Put() {
  m_is_registered = false;
  m_timer.reset();
  m_put_value = m_value;
  m_store.Put(m_key, m_value, m_lease,
              MakeCallback<KeyValueStatus>(&DaemonRegistration::OnPut));
}

void DaemonRegistration::OnPut(KeyValueStatus status) {
  ReportIfUnanswered(status);
  if (status == KeyValueStatus::kNotFound) {
    Retry(&DaemonRegistration::Grant);
    return;
  }
  if (status != KeyValueStatus::kOk) {
    Retry(&DaemonRegistration::Put);
    return;
  }
  m_is_registered = true;
  m_retry_delay = kMinRetryDelay;
  WriteLog(LogLevel::kInfo, "registered",
           {Field("lease", m_lease),
            Field("ttl_ms", ToMilliseconds(m_timings.time_to_live))});
  if (const LeaseId old = std::exchange(m_old_lease, 0); old != 0) {
    RevokeLease(old);
  }
  if (m_value != m_put_value) {
    Put();
    return;
  }
  ScheduleCall(m_timings.renew_interval, &DaemonRegistration::Renew);
}

void DaemonRegistration::Renew() {
  m_store.Renew(m_lease,
                MakeCallback<KeyValueStatus>(&DaemonRegistration::OnRenewed));
}

void DaemonRegistration::OnRenewed(KeyValueStatus status) {
  ReportIfUnanswered(status);
  if (status == KeyValueStatus::kNotFound) {
    WriteLog(LogLevel::kWarning, "lease_lost", {Field("lease", m_lease)});
    Grant();
    return;
  }
  if (status != KeyValueStatus::kOk) {
    Retry(&DaemonRegistration::Renew);
    return;
  }
  m_retry_delay = kMinRetryDelay;
  ScheduleCall(m_timings.renew_interval, &DaemonRegistration::Renew);
}

void DaemonRegistration::Retry(void (DaemonRegistration::*call)()) {
  const Duration delay = std::min(m_retry_delay, m_timings.max_retry_delay);
  m_retry_delay = delay * 2;
  ScheduleCall(delay, call);
}

// A failed call is not retried, as the lease expires without renewals.
void DaemonRegistration::RevokeLease(LeaseId lease) {
  m_store.Revoke(lease, [lease](KeyValueStatus status) {
    WriteLog(LogLevel::kDebug, "lease_ended",
             {Field("lease", lease), Field("status", ToString(status))});
  });
}

void DaemonRegistration::ReportIfUnanswered(KeyValueStatus status) const {
  if (status == KeyValueStatus::kUnknown) {
    m_on_unanswered();
  }
}

void DaemonRegistration::ScheduleCall(Duration delay,
                                      void (DaemonRegistration::*call)()) {
  m_timer = m_loop.At(std::chrono::steady_clock::now() + delay,
                      [this, call] { (this->*call)(); });
}

}  // namespace bramleyspoke
