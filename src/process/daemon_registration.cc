#include "process/daemon_registration.h"

#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {

DaemonRegistration::DaemonRegistration(EventLoop& loop,
                                       KeyValueStore& store,
                                       std::string key,
                                       std::string value,
                                       std::function<void()> on_no_answer)
    : m_loop(loop),
      m_store(store),
      m_key(std::move(key)),
      m_value(std::move(value)),
      m_on_no_answer(std::move(on_no_answer)),
      m_self(std::make_shared<DaemonRegistration*>(this)) {}

DaemonRegistration::~DaemonRegistration() = default;

void DaemonRegistration::Start() {
  Grant();
}

void DaemonRegistration::End() {
  m_is_ended = true;
  m_timer.reset();
  if (m_lease == 0) {
    return;
  }
  m_store.Revoke(m_lease, [](KeyValueStatus status) {
    WriteLog(LogLevel::kInfo, "registration_ended",
             {Field("status", ToString(status))});
  });
}

void DaemonRegistration::Grant() {
  m_store.Grant(kTimeToLive,
                [weak = std::weak_ptr(m_self)](const LeaseGrant& grant) {
                  const auto self = weak.lock();
                  if (!self || (*self)->m_is_ended) {
                    return;
                  }
                  (*self)->CheckAnswered(grant.status);
                  if (grant.status != KeyValueStatus::kOk) {
                    (*self)->After(kRetryTime, &DaemonRegistration::Grant);
                    return;
                  }
                  (*self)->m_lease = grant.lease;
                  (*self)->Put();
                });
}

void DaemonRegistration::Put() {
  m_store.Put(m_key, m_value, m_lease,
              [weak = std::weak_ptr(m_self)](KeyValueStatus status) {
                const auto self = weak.lock();
                if (!self || (*self)->m_is_ended) {
                  return;
                }
                (*self)->CheckAnswered(status);
                if (status == KeyValueStatus::kOk) {
                  WriteLog(LogLevel::kInfo, "registered",
                           {Field("lease", (*self)->m_lease)});
                  (*self)->After(kRenewTime, &DaemonRegistration::Renew);
                } else if (status == KeyValueStatus::kNotFound) {
                  (*self)->After(kRetryTime, &DaemonRegistration::Grant);
                } else {
                  (*self)->After(kRetryTime, &DaemonRegistration::Put);
                }
              });
}

void DaemonRegistration::Renew() {
  m_store.Renew(m_lease, [weak = std::weak_ptr(m_self)](KeyValueStatus status) {
    const auto self = weak.lock();
    if (self && !(*self)->m_is_ended) {
      (*self)->OnRenewed(status);
    }
  });
}

void DaemonRegistration::CheckAnswered(KeyValueStatus status) const {
  if (status == KeyValueStatus::kUnknown) {
    m_on_no_answer();
  }
}

void DaemonRegistration::OnRenewed(KeyValueStatus status) {
  CheckAnswered(status);
  if (status == KeyValueStatus::kNotFound) {
    WriteLog(LogLevel::kWarning, "lease_lost", {Field("lease", m_lease)});
    Grant();
    return;
  }
  After(status == KeyValueStatus::kOk ? kRenewTime : kRetryTime,
        &DaemonRegistration::Renew);
}

void DaemonRegistration::After(Duration pause,
                               void (DaemonRegistration::*step)()) {
  m_timer = m_loop.At(std::chrono::steady_clock::now() + pause,
                      [this, step] { (this->*step)(); });
}

}  // namespace bramleyspoke
