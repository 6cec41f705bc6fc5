#include "tool/explanation.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace bramleyspoke {
namespace {

struct Description {
  std::string_view name;
  std::string_view text;
};

constexpr std::array<Description, 9> kRefusalReasons{{
    {"not_ready",
     "No route matched, and the daemon's routes may have been outdated: look "
     "for "
     "an earlier store_lost or started event."},
    {"no_replica", "Too few leafs of the service were available."},
    {"leaf_rate_limit",
     "Leafs of the service had named the request rate that they accept, and "
     "this daemon's part of it was used up."},
    {"leaf_paused",
     "Leafs of the service had asked this daemon to send nothing for a time."},
    {"overloaded",
     "Too many requests were in flight or queued at one service."},
    {"crash_suspect",
     "Leafs crashed while they executed this request: see the leaf_crashed "
     "events of all daemons with its fingerprint."},
    {"deadline_passed",
     "The deadline passed before enough responses had arrived."},
    {"lost",
     "The connection to a leaf broke after the request was sent, and the "
     "request must not run twice: see the send_failed event, and check at the "
     "leaf whether the request ran."},
    {"no_route",
     "No route of the version in use matches the request. If "
     "routes_unconfirmed_ms is large, the version may have been outdated: look "
     "for a later routes_in_force event and its source."},
}};

constexpr std::array<Description, 6> kAttemptFailures{{
    {"failed", "returned a failure"},
    {"refused", "reported that it did not run the request"},
    {"other_leaf", "was not at its address (another leaf responded)"},
    {"not_sent", "could not be connected to"},
    {"lost", "closed the connection without a response"},
    {"timed_out", "did not respond by the deadline"},
}};

template <std::size_t Count>
std::string_view DescriptionOf(
    const std::array<Description, Count>& descriptions,
    std::string_view name) {
  for (const Description& description : descriptions) {
    if (description.name == name) {
      return description.text;
    }
  }
  return {};
}

bool HasRequestId(const LogRecord& record) {
  return record.fields.contains("request_id");
}

std::string Milliseconds(std::int64_t count) {
  return std::to_string(count) + " ms";
}

std::string DescribeFailedAttempt(const LogRecord& record) {
  const std::string_view kind = record.Text("kind");
  const std::string_view description = DescriptionOf(kAttemptFailures, kind);
  return "Leaf " + std::string(record.Text("leaf")) + " of " +
         std::string(record.Text("service")) + " " +
         std::string(description.empty() ? kind : description) + " after " +
         Milliseconds(record.Integer("taken_ms")) + ".";
}

std::string DescribeSkippedResponse(const LogRecord& record) {
  const std::string echoed(record.Text("echoed_id"));
  return "Leaf " + std::string(record.Text("leaf")) +
         " sent a response with status " +
         std::to_string(record.Integer("status")) + " that names " +
         (echoed.empty() ? "no request" : "request " + echoed) +
         "; it was skipped.";
}

std::string DescribeRefusal(const LogRecord& record) {
  const std::string reason(record.Text("reason"));
  const std::string verdict(record.Text("verdict"));
  std::string text = verdict == "not_run" ? "Refused" : "Ended";
  text += " with status " + std::to_string(record.Integer("status")) + ", " +
          reason + " (" + verdict + ")";
  const std::int64_t retry_after = record.Integer("retry_after_ms");
  if (retry_after > 0) {
    text += ", retry after " + Milliseconds(retry_after);
  }
  return text + ". " + std::string(DescriptionOf(kRefusalReasons, reason));
}

std::string DescribeMissingShards(const LogRecord& record) {
  const std::string shards = std::to_string(record.Integer("missing_shards"));
  const std::string_view end = record.Text("wait_end");
  if (end == "answer_due") {
    return shards + " shards had not responded when the answer was due, " +
           Milliseconds(record.Integer("time_for_answer_ms")) +
           " after the request arrived.";
  }
  if (end == "deadline") {
    return shards + " shards had not responded by the deadline.";
  }
  return shards + " shards are missing: all attempts to query them failed.";
}

void DescribeEnd(const LogRecord& record, std::vector<std::string>& causes) {
  const bool is_for_peer = record.event == "peer_query_end";
  if (!record.Text("reason").empty()) {
    causes.push_back(DescribeRefusal(record));
  } else if (!is_for_peer) {
    causes.push_back("Answered with status " +
                     std::to_string(record.Integer("status")) + " after " +
                     Milliseconds(record.Integer("taken_ms")) + ".");
  }
  const std::string prefix = is_for_peer ? "At " + record.source +
                                               ", a peer queried for shards of "
                                               "its region: "
                                         : "";
  if (record.Integer("hand_overs") > 0) {
    causes.push_back(
        std::to_string(record.Integer("hand_overs")) +
        " times, a part was handed over to a peer, as none of its "
        "leafs was in reach; see the daemon's leaf_contact lines.");
  }
  if (record.Integer("missing_shards") > 0) {
    causes.push_back(prefix + DescribeMissingShards(record));
  }
  if (!record.Text("odd").empty()) {
    causes.push_back(prefix +
                     "parts that were not answered or needed "
                     "more than one attempt: " +
                     std::string(record.Text("odd")) + ".");
  }
}

std::vector<std::string> CausesOf(
    const std::vector<LogRecord>& request_records) {
  std::vector<std::string> causes;
  for (const LogRecord& record : request_records) {
    if (record.event == "send_failed") {
      causes.push_back(DescribeFailedAttempt(record));
    } else if (record.event == "response_skipped") {
      causes.push_back(DescribeSkippedResponse(record));
    } else if (record.event == "request_end" ||
               record.event == "peer_query_end") {
      DescribeEnd(record, causes);
    }
  }
  return causes;
}

// Fingerprints by which a request that was refused for crashing leafs is known.
std::set<std::string, std::less<>> SuspectFingerprints(
    const std::vector<LogRecord>& request_records) {
  std::set<std::string, std::less<>> fingerprints;
  for (const LogRecord& record : request_records) {
    if (record.Text("reason") == "crash_suspect") {
      fingerprints.emplace(record.Text("fingerprint"));
      fingerprints.emplace(record.Text("resource"));
    }
  }
  fingerprints.erase(std::string());
  return fingerprints;
}

bool IsCrashEvidence(const LogRecord& record,
                     const std::set<std::string, std::less<>>& fingerprints) {
  return !HasRequestId(record) &&
         (fingerprints.contains(record.Text("fingerprint")) ||
          fingerprints.contains(record.Text("resource")));
}

}  // namespace

Explanation ExplainRequest(std::vector<LogRecord> records,
                           std::string_view request_id) {
  std::stable_sort(records.begin(), records.end(),
                   [](const LogRecord& a, const LogRecord& b) {
                     return a.time_ms < b.time_ms;
                   });
  Explanation explanation;
  std::set<std::string> sources;
  for (const LogRecord& record : records) {
    if (record.Text("request_id") == request_id) {
      sources.insert(record.source);
      explanation.request_records.push_back(record);
    }
  }
  if (explanation.request_records.empty()) {
    return explanation;
  }
  const std::int64_t end = explanation.request_records.back().time_ms;
  const auto fingerprints = SuspectFingerprints(explanation.request_records);
  for (LogRecord& record : records) {
    const bool is_nearby = !HasRequestId(record) &&
                           record.event != "log_lines_suppressed" &&
                           sources.contains(record.source) &&
                           end - record.time_ms <= kContextWindowMs;
    if (record.time_ms <= end &&
        (is_nearby || IsCrashEvidence(record, fingerprints))) {
      explanation.context.push_back(std::move(record));
    }
  }
  if (explanation.context.size() > kMaxContextRecords) {
    explanation.context.erase(
        explanation.context.begin(),
        explanation.context.end() - std::ptrdiff_t{kMaxContextRecords});
  }
  explanation.causes = CausesOf(explanation.request_records);
  return explanation;
}

}  // namespace bramleyspoke
