#include "tool/search_caller.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <random>
#include <thread>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;
constexpr std::chrono::seconds kMaxRetryDelay{2};
constexpr std::chrono::milliseconds kEntryFetchRetryDelay{200};

constexpr EnumNames<SearchAttemptResult, 4> kResultNames{{{
    {SearchAttemptResult::kAnswered, "answered"},
    {SearchAttemptResult::kRefused, "refused"},
    {SearchAttemptResult::kNotSent, "not_sent"},
    {SearchAttemptResult::kLost, "lost"},
}}};

class SearchCaller {
 public:
  explicit SearchCaller(const SearchPlan& plan)
      : m_plan(plan), m_next_entry(std::random_device()()) {}

  SearchResult Run() {
    for (std::uint64_t i = 0; i < m_plan.max_attempts && !m_is_finished; ++i) {
      if (m_entries.empty() && !FetchEntries()) {
        std::this_thread::sleep_for(kEntryFetchRetryDelay);
        continue;
      }
      SendAttempt();
    }
    return std::move(m_result);
  }

 private:
  // Retries keep the first request id, even after addresses have been fetched
  // again: a request that must not run twice runs at most once under its id,
  // however earlier attempts ended.
  bool FetchEntries() {
    const DaemonCallResult call = CallFirstAvailable(
        m_plan.daemons, "/v1/entries?service=" + m_plan.service,
        m_plan.timeout);
    if (!call.response || call.response->status != kStatusOk) {
      RecordFailedEntryFetch(call);
      return false;
    }
    const auto list = ParseEntryList(call.response->body);
    if (!list || list->entries.empty()) {
      return false;
    }
    m_entries = list->entries;
    if (m_result.request_id.empty()) {
      m_result.request_id = list->request_id_prefix + m_plan.request_id_suffix;
    }
    return true;
  }

  void RecordFailedEntryFetch(const DaemonCallResult& call) {
    SearchAttempt attempt;
    attempt.entry = m_plan.daemons.front();
    if (call.response) {
      attempt.result = SearchAttemptResult::kRefused;
      attempt.refusal = ParseSearchRefusal(call.response->body);
      m_is_finished = !attempt.refusal->retry_after;
    }
    m_result.attempts.push_back(std::move(attempt));
  }

  std::string RequestBody() const {
    json::object body{{"service", m_plan.service},
                      {"query", m_plan.query},
                      {"request_id", m_result.request_id}};
    if (!m_plan.caller.empty()) {
      body["caller"] = m_plan.caller;
    }
    if (m_plan.limit) {
      body["limit"] = *m_plan.limit;
    }
    if (m_plan.deadline_ms) {
      body["deadline_ms"] = *m_plan.deadline_ms;
    }
    return json::serialize(body);
  }

  void SendAttempt() {
    m_next_entry %= m_entries.size();
    const Endpoint entry = m_entries[m_next_entry++];
    const DaemonCallResult call =
        CallDaemon(entry, "/v1/search", RequestBody(), m_plan.timeout);
    SearchAttempt attempt{entry, SearchAttemptResult::kNotSent, std::nullopt};
    if (!call.response) {
      RecordNoResponse(call, attempt);
    } else if (call.response->status == kStatusOk) {
      attempt.result = SearchAttemptResult::kAnswered;
      m_result.answer = call.response->body;
      m_result.verdict = Verdict::kRan;
      m_is_finished = true;
    } else {
      RecordRefusal(call.response->body, attempt);
    }
    m_result.attempts.push_back(std::move(attempt));
  }

  // Removes the address from the list. Once the list is empty, the addresses
  // are fetched again.
  void RecordNoResponse(const DaemonCallResult& call, SearchAttempt& attempt) {
    if (call.may_have_arrived) {
      attempt.result = SearchAttemptResult::kLost;
      m_result.verdict = Verdict::kMayHaveRun;
    }
    m_entries.erase(
        std::remove(m_entries.begin(), m_entries.end(), attempt.entry),
        m_entries.end());
  }

  void RecordRefusal(const std::string& body, SearchAttempt& attempt) {
    attempt.result = SearchAttemptResult::kRefused;
    attempt.refusal = ParseSearchRefusal(body);
    m_result.verdict = Combine(m_result.verdict, attempt.refusal->verdict);
    if (!attempt.refusal->retry_after) {
      m_is_finished = true;
      return;
    }
    std::this_thread::sleep_for(
        std::min<Duration>(*attempt.refusal->retry_after, kMaxRetryDelay));
  }

  const SearchPlan& m_plan;
  std::vector<Endpoint> m_entries;
  std::size_t m_next_entry;
  bool m_is_finished = false;
  SearchResult m_result;
};

}  // namespace

std::string_view ToString(SearchAttemptResult result) {
  return kResultNames.NameOf(result);
}

SearchResult SearchAsCaller(const SearchPlan& plan) {
  return SearchCaller(plan).Run();
}

}  // namespace bramleyspoke
