#pragma once

#include <functional>
#include <memory>
#include <string>

#include "connection/http_server.h"

namespace bramleyspoke {

class SearchRouter;

/// Operations of the process that callers' and operators' requests use.
class OperatorActions {
 public:
  virtual ~OperatorActions() = default;
  /// State of the whole process as JSON. `done` is called on the front thread.
  virtual void Dump(std::function<void(std::string)> done) = 0;
  /// Summary as JSON, for `bramleyspoke status`.
  virtual std::string Status() = 0;
  /// Metrics in the Prometheus text format.
  virtual std::string Metrics() = 0;
  virtual bool IsReady() const = 0;
  virtual bool IsStopping() const = 0;
  virtual void BeginStop() = 0;
  /// Returns false if the level is unknown.
  virtual bool SetLogLevel(const std::string& name) = 0;
};

/// The daemon's HTTP interface for callers and operators.
class CallerApi final : public HttpHandler {
 public:
  CallerApi(SearchRouter& router, OperatorActions& actions)
      : m_router(router), m_actions(actions) {}

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void Search(const std::shared_ptr<HttpExchange>& exchange);
  void AnswerAddressQuery(HttpExchange& exchange,
                          const std::string& parameters);
  void SetLogLevel(HttpExchange& exchange);

  SearchRouter& m_router;
  OperatorActions& m_actions;
};

}  // namespace bramleyspoke
