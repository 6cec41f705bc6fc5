#include "connection/leaf_message.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;

std::optional<json::object> ParseObject(std::string_view body) {
  json::error_code error;
  json::value parsed = json::parse({body.data(), body.size()}, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.get_object());
}

std::string StringField(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<double> NumberField(const json::object& object,
                                  std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<std::uint64_t> UnsignedField(const json::object& object,
                                           std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto count = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(count);
}

bool BoolField(const json::object& object,
               std::string_view key,
               bool default_value) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() ? value->get_bool()
                                              : default_value;
}

std::optional<Hit> ParseHit(const json::value& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const std::optional<double> score = NumberField(object, "score");
  Hit hit{StringField(object, "id"), score.value_or(0),
          StringField(object, "text")};
  return hit.id.empty() || !score ? std::nullopt : std::optional(hit);
}

std::optional<std::vector<Hit>> ParseHits(const json::object& object) {
  const json::value* list = object.if_contains("hits");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<Hit> hits;
  hits.reserve(list->get_array().size());
  for (const json::value& item : list->get_array()) {
    std::optional<Hit> hit = ParseHit(item);
    if (!hit) {
      return std::nullopt;
    }
    hits.push_back(std::move(*hit));
  }
  return hits;
}

bool MatchesAttempt(const json::object& object, const Attempt& attempt) {
  return UnsignedField(object, "version") == attempt.version.number &&
         StringField(object, "layout") == attempt.version.layout &&
         UnsignedField(object, "shard") == attempt.shard;
}

// A response with a share outside 0 to 1 is malformed.
std::optional<double> ParseCovered(const json::object& object) {
  const double covered = NumberField(object, "covered").value_or(1);
  const bool is_share = covered >= 0 && covered <= 1;
  return is_share ? std::optional(covered) : std::nullopt;
}

AttemptOutcome MakeWrongAnswer() {
  AttemptOutcome outcome;
  outcome.result = AttemptResult::kWrongAnswer;
  outcome.verdict = Verdict::kMayHaveRun;
  return outcome;
}

void ParseAnswer(const json::object& object,
                 const Attempt& attempt,
                 AttemptOutcome& outcome) {
  std::optional<std::vector<Hit>> hits = ParseHits(object);
  const std::optional<double> covered = ParseCovered(object);
  if (!hits || !covered || !MatchesAttempt(object, attempt)) {
    return;
  }
  outcome.result = AttemptResult::kAnswered;
  outcome.verdict = Verdict::kRan;
  outcome.hits = std::move(*hits);
  outcome.covered = *covered;
}

// Without an explicit "not_run" verdict, the attempt may have run.
void ParseRefusal(const json::object& object, AttemptOutcome& outcome) {
  const std::optional<Verdict> verdict =
      ParseVerdict(StringField(object, "verdict"));
  if (!verdict) {
    return;
  }
  outcome.reason = ParseLeafReason(StringField(object, "reason"))
                       .value_or(LeafReason::kOther);
  const bool is_not_run = *verdict == Verdict::kNotRun;
  outcome.verdict = is_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun;
  if (outcome.reason == LeafReason::kCancelled) {
    outcome.result = AttemptResult::kCancelled;
  } else if (is_not_run) {
    outcome.result = AttemptResult::kRefused;
  } else if (outcome.reason == LeafReason::kDeadline) {
    outcome.result = AttemptResult::kTimedOut;
  }
}

json::array EncodeHits(const std::vector<Hit>& hits) {
  json::array list;
  list.reserve(hits.size());
  for (const Hit& hit : hits) {
    list.push_back({{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
  }
  return list;
}

json::array EncodeVersions(const std::vector<IndexVersion>& versions) {
  json::array list;
  for (const IndexVersion& version : versions) {
    list.push_back({{"version", version.number}, {"layout", version.layout}});
  }
  return list;
}

std::vector<IndexVersion> ParseVersions(const json::object& object) {
  std::vector<IndexVersion> versions;
  const json::value* list = object.if_contains("versions");
  if (list == nullptr || !list->is_array()) {
    return versions;
  }
  for (const json::value& item : list->get_array()) {
    if (!item.is_object()) {
      continue;
    }
    const auto number = UnsignedField(item.get_object(), "version");
    if (number) {
      versions.push_back({*number, StringField(item.get_object(), "layout")});
    }
  }
  return versions;
}

}  // namespace

std::string EncodeAttempt(const Attempt& attempt, TimePoint now) {
  const std::chrono::duration<double, std::milli> left = attempt.deadline - now;
  return json::serialize(json::object{{"attempt_id", attempt.attempt_id},
                                      {"request_id", attempt.request_id},
                                      {"service", attempt.service},
                                      {"version", attempt.version.number},
                                      {"layout", attempt.version.layout},
                                      {"shard", attempt.shard},
                                      {"idempotent", attempt.idempotent},
                                      {"query", attempt.query},
                                      {"limit", attempt.limit},
                                      {"deadline_ms", left.count()}});
}

std::optional<Attempt> ParseAttempt(std::string_view body, TimePoint now) {
  const std::optional<json::object> object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  const auto version = UnsignedField(*object, "version");
  const auto shard = UnsignedField(*object, "shard");
  const auto left = NumberField(*object, "deadline_ms");
  if (!version || !shard || !left) {
    return std::nullopt;
  }
  Attempt attempt;
  attempt.attempt_id = StringField(*object, "attempt_id");
  attempt.request_id = StringField(*object, "request_id");
  attempt.service = StringField(*object, "service");
  attempt.version = {*version, StringField(*object, "layout")};
  attempt.shard = static_cast<std::uint32_t>(*shard);
  attempt.idempotent = BoolField(*object, "idempotent", true);
  attempt.query = StringField(*object, "query");
  attempt.limit =
      static_cast<std::uint32_t>(UnsignedField(*object, "limit").value_or(0));
  attempt.deadline =
      now + std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(*left));
  return attempt;
}

std::string EncodeOutcome(const Attempt& attempt,
                          const AttemptOutcome& outcome) {
  json::object object{{"attempt_id", attempt.attempt_id},
                      {"draining", outcome.draining},
                      {"load", outcome.reported_load.value_or(0)},
                      {"incarnation", outcome.incarnation}};
  if (outcome.result == AttemptResult::kAnswered) {
    object["version"] = attempt.version.number;
    object["layout"] = attempt.version.layout;
    object["shard"] = attempt.shard;
    object["hits"] = EncodeHits(outcome.hits);
    object["covered"] = outcome.covered;
  } else {
    object["verdict"] = ToString(outcome.verdict);
    object["reason"] = ToString(outcome.reason);
  }
  return json::serialize(object);
}

AttemptOutcome ParseOutcome(const Attempt& attempt,
                            int status,
                            std::string_view body) {
  AttemptOutcome outcome = MakeWrongAnswer();
  const std::optional<json::object> object = ParseObject(body);
  if (!object || StringField(*object, "attempt_id") != attempt.attempt_id) {
    return outcome;
  }
  outcome.draining = BoolField(*object, "draining", false);
  outcome.reported_load = NumberField(*object, "load");
  outcome.incarnation = StringField(*object, "incarnation");
  if (status == kStatusOk) {
    ParseAnswer(*object, attempt, outcome);
  } else {
    ParseRefusal(*object, outcome);
  }
  return outcome;
}

std::string EncodeStatus(const LeafStatus& status) {
  return json::serialize(
      json::object{{"versions", EncodeVersions(status.versions)},
                   {"draining", status.draining},
                   {"load", status.reported_load.value_or(0)},
                   {"incarnation", status.incarnation}});
}

std::optional<LeafStatus> ParseStatus(std::string_view body) {
  const std::optional<json::object> object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  LeafStatus status;
  status.versions = ParseVersions(*object);
  status.draining = BoolField(*object, "draining", false);
  status.reported_load = NumberField(*object, "load");
  status.incarnation = StringField(*object, "incarnation");
  return status;
}

}  // namespace bramleyspoke
