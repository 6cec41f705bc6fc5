#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "connection/peer.h"
#include "request/admission_limits.h"
#include "request/caller_message.h"
#include "request/request_ids.h"
#include "request/search_executor.h"
#include "version/routing_table.h"

namespace bramleyspoke {

class EventLoop;
class FreshnessLease;

/// How a caller's request ended, for metrics and logs.
struct RequestEnd {
  Verdict verdict = Verdict::kNotRun;
  std::optional<RefusalReason> reason;
  int status = 0;
  Duration taken = Duration::zero();
  /// Set if the request was executed by this daemon.
  std::optional<SearchOutcome> outcome;
};

/// Observer of request ends and forwards; called on the front thread.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const CallerSearch& search,
                            const RequestEnd& end) = 0;
  /// Called when the outcome of a forward to another daemon is known.
  virtual void OnForward(ForwardResult /*result*/) {}
};

/// Dependencies and limits of a router; the referenced objects must outlive it.
struct RouterContext {
  EventLoop& front;
  const Clock& clock;
  const FreshnessLease& lease;
  PeerNetwork& peers;
  SearchExecutor& executor;
  RequestObserver& observer;
  DaemonAddress self;
  std::size_t max_in_flight = 1000;
  std::uint64_t seed = 0;
};

/// Routes each caller request to a daemon that may run it; used on the front
/// thread only.
///
/// A request runs on this daemon if the daemon is a holder of the service, else
/// it is forwarded to a holder. Whether a non-idempotent request runs is
/// decided by the daemon that issued its id.
class SearchRouter {
 public:
  using Reply = std::function<void(CallerReply)>;

  explicit SearchRouter(RouterContext context);

  /// Routes a caller's request; returns the query number for
  /// `OnCallerDisconnected`.
  QueryNumber Search(CallerSearch search, Reply reply);
  /// Cancels the query if it is idempotent and runs on this daemon.
  void OnCallerDisconnected(QueryNumber query);
  /// Handles a request that another daemon forwarded.
  void OnForwardRequest(const std::string& body,
                        Duration time_left,
                        Reply reply);
  /// Addresses at which callers may send requests for `service`.
  AddressAnswer AnswerAddressQuery(const std::string& service) const;

  void SetTable(std::shared_ptr<const RoutingTable> table);
  const RoutingTable& Table() const { return *m_table; }
  /// Omits this daemon from address answers. Requests are still served, with a
  /// deadline of `answer_all_by` at the latest.
  void BeginLeaving(TimePoint answer_all_by) {
    m_answer_all_by = answer_all_by;
  }
  /// Ends all requests with what is known of them.
  void EndAll();
  std::size_t InFlight() const { return m_limits.InFlight(); }
  std::size_t RememberedIds() const { return m_ids.size(); }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr Start(CallerSearch search, Reply reply);
  bool Admit(const PendingPtr& pending);
  std::optional<Refusal> CheckAdmission(Pending& pending);
  Verdict VerdictBeforeIdCheck(const Pending& pending) const;
  void Route(const PendingPtr& pending);
  void RouteById(const PendingPtr& pending);
  void RunAtMostOnce(const PendingPtr& pending);
  void ReplyWithRecordedOutcome(const PendingPtr& pending);
  void ForwardToIssuer(const PendingPtr& pending);
  void RunOrForward(const PendingPtr& pending);
  void RunHere(const PendingPtr& pending);
  void ForwardToNextHolder(const PendingPtr& pending);
  void OnHolderReply(const PendingPtr& pending, ForwardOutcome outcome);
  void Refuse(const PendingPtr& pending,
              RefusalReason reason,
              Verdict verdict,
              std::string detail);
  void End(const PendingPtr& pending, CallerReply reply);
  void RecordOutcome(const PendingPtr& pending, const CallerReply& reply);

  RouterContext m_context;
  std::shared_ptr<const RoutingTable> m_table;
  AdmissionLimits m_limits;
  RequestIds m_ids;
  std::map<QueryNumber, PendingPtr> m_pending;
  // Requests that arrived while another one with their id runs, by id.
  std::map<std::string, std::vector<PendingPtr>> m_duplicates;
  QueryNumber m_last_query = 0;
  /// Set once a planned stop has begun.
  std::optional<TimePoint> m_answer_all_by;
};

}  // namespace bramleyspoke
