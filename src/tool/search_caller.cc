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
constexpr std::chrono::seconds kMaxWait{2};
constexpr std::chrono::milliseconds kWaitForEntries{200};

constexpr EnumNames<TryResult, 4> kResultNames{{{
    {TryResult::kAnswered, "answered"},
    {TryResult::kRefused, "refused"},
    {TryResult::kNotSent, "not_sent"},
    {TryResult::kLost, "lost"},
}}};

class SearchCaller {
 public:
  explicit SearchCaller(const CallerPlan& plan)
      : m_plan(plan), m_next(std::random_device()()) {}

  CallerResult Run() {
    for (std::uint64_t i = 0; i < m_plan.tries && !m_is_over; ++i) {
      if (m_entries.empty() && !FetchEntries()) {
        std::this_thread::sleep_for(kWaitForEntries);
        continue;
      }
      TryOnce();
    }
    return std::move(m_result);
  }

 private:
  // Retries keep the first request id, also with newly fetched addresses: a
  // request runs at most once under its id, however earlier attempts ended.
  bool FetchEntries() {
    const DaemonCall call =
        CallFirst(m_plan.daemons, "/v1/entries?service=" + m_plan.service,
                  m_plan.timeout);
    if (!call.answer || call.answer->status != kStatusOk) {
      NoteNoEntries(call);
      return false;
    }
    const auto list = ParseEntryList(call.answer->body);
    if (!list || list->entries.empty()) {
      return false;
    }
    m_entries = list->entries;
    if (m_result.request_id.empty()) {
      m_result.request_id = list->request_id_prefix + m_plan.request_id_suffix;
    }
    return true;
  }

  void NoteNoEntries(const DaemonCall& call) {
    SearchTry attempt;
    attempt.entry = m_plan.daemons.front();
    if (call.answer) {
      attempt.result = TryResult::kRefused;
      attempt.refusal = ParseSearchRefusal(call.answer->body);
      m_is_over = !attempt.refusal->retry_after;
    }
    m_result.tries.push_back(std::move(attempt));
  }

  std::string Body() const {
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

  void TryOnce() {
    m_next %= m_entries.size();
    const Endpoint entry = m_entries[m_next++];
    const DaemonCall call =
        CallDaemon(entry, "/v1/search", Body(), m_plan.timeout);
    SearchTry attempt{entry, TryResult::kNotSent, std::nullopt};
    if (!call.answer) {
      NoteNoAnswer(call, attempt);
    } else if (call.answer->status == kStatusOk) {
      attempt.result = TryResult::kAnswered;
      m_result.answer = call.answer->body;
      m_result.verdict = Verdict::kRan;
      m_is_over = true;
    } else {
      NoteRefusal(call.answer->body, attempt);
    }
    m_result.tries.push_back(std::move(attempt));
  }

  // Removes the address from the list. Once the list is empty, the addresses
  // are fetched again.
  void NoteNoAnswer(const DaemonCall& call, SearchTry& attempt) {
    if (call.may_have_arrived) {
      attempt.result = TryResult::kLost;
      m_result.verdict = Verdict::kMayHaveRun;
    }
    m_entries.erase(
        std::remove(m_entries.begin(), m_entries.end(), attempt.entry),
        m_entries.end());
  }

  void NoteRefusal(const std::string& body, SearchTry& attempt) {
    attempt.result = TryResult::kRefused;
    attempt.refusal = ParseSearchRefusal(body);
    m_result.verdict = Combine(m_result.verdict, attempt.refusal->verdict);
    if (!attempt.refusal->retry_after) {
      m_is_over = true;
      return;
    }
    std::this_thread::sleep_for(
        std::min<Duration>(*attempt.refusal->retry_after, kMaxWait));
  }

  const CallerPlan& m_plan;
  std::vector<Endpoint> m_entries;
  std::size_t m_next;
  bool m_is_over = false;
  CallerResult m_result;
};

}  // namespace

std::string_view ToString(TryResult result) {
  return kResultNames.NameOf(result);
}

CallerResult SearchAsCaller(const CallerPlan& plan) {
  return SearchCaller(plan).Run();
}

}  // namespace bramleyspoke
