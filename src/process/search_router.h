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

/// A request that ended, as metrics and logs see it.
struct RequestEnd {
  Verdict verdict = Verdict::kNotRun;
  std::optional<RefusalReason> reason;
  int status = 0;
  Duration taken = Duration::zero();
  /// Set if it ran here.
  std::optional<SearchOutcome> outcome;
};

/// Sees each request's end.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const CallerSearch& search,
                            const RequestEnd& end) = 0;
  /// A request was handed to another daemon.
  virtual void OnForward(ForwardResult /*result*/) {}
};

/// What a router needs of its process; all outlive it.
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

/// Takes each request to where it may run; on the front thread.
///
/// A request runs here if this daemon holds its service, else at a holder. A
/// non-idempotent one is decided on by the daemon that issued its id.
class SearchRouter {
 public:
  using Reply = std::function<void(CallerReply)>;

  explicit SearchRouter(RouterContext context);

  /// A caller's request; returns the number to name in `CallerGone`.
  QueryNumber Search(CallerSearch search, Reply reply);
  void CallerGone(QueryNumber query);
  /// A request that another daemon handed over.
  void Forwarded(const std::string& body, Duration time_left, Reply reply);
  EntryAnswer Entries(const std::string& service) const;

  void SetTable(std::shared_ptr<const RoutingTable> table);
  const RoutingTable& Table() const { return *m_table; }
  /// Vanishes from the address answers; everything else goes on.
  void BeginLeaving() { m_is_leaving = true; }
  std::size_t InFlight() const { return m_limits.InFlight(); }
  std::size_t RememberedIds() const { return m_ids.size(); }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  PendingPtr Start(CallerSearch search, Reply reply);
  bool Admit(const PendingPtr& pending);
  void Route(const PendingPtr& pending);
  void RouteById(const PendingPtr& pending);
  void RunOnce(const PendingPtr& pending);
  void AnswerEnded(const PendingPtr& pending);
  void HandToIssuer(const PendingPtr& pending);
  void RunOrHandOver(const PendingPtr& pending);
  void RunHere(const PendingPtr& pending);
  void HandToHolder(const PendingPtr& pending);
  void OnHolderReply(const PendingPtr& pending, ForwardOutcome outcome);
  void Refuse(const PendingPtr& pending,
              RefusalReason reason,
              Verdict verdict,
              std::string detail);
  void End(const PendingPtr& pending, CallerReply reply);
  void EndOnce(const PendingPtr& pending, const CallerReply& reply);

  RouterContext m_context;
  std::shared_ptr<const RoutingTable> m_table;
  AdmissionLimits m_limits;
  RequestIds m_ids;
  std::map<QueryNumber, PendingPtr> m_pending;
  // Requests sent again while the first one runs, by id.
  std::map<std::string, std::vector<PendingPtr>> m_attached;
  QueryNumber m_last_query = 0;
  bool m_is_leaving = false;
};

}  // namespace bramleyspoke
