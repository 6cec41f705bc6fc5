#pragma once

#include <functional>
#include <string>

#include "request/query_engine.h"
#include "request/search.h"

namespace bramleyspoke {

/// Runs searches on the services that this daemon holds.
class SearchExecutor {
 public:
  using Done = std::function<void(SearchOutcome)>;

  virtual ~SearchExecutor() = default;
  /// `done` is called once, on the front thread.
  virtual void Execute(QueryNumber query, SearchRequest request, Done done) = 0;
  /// Called when the caller of an idempotent query no longer waits for its
  /// answer.
  virtual void OnCallerDisconnected(const std::string& service,
                                    QueryNumber query) = 0;
};

}  // namespace bramleyspoke
