#include "request/caller_message.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxQueryBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxNameBytes = 256;
constexpr int kAnsweredStatus = 200;
constexpr std::chrono::milliseconds kMaxDeadline{60'000};

// Reads the members of a JSON object and collects the invalid ones.
class SearchFieldReader {
 public:
  explicit SearchFieldReader(const json::object& object) : m_object(object) {}

  std::string Text(const char* key, bool is_needed, std::size_t max_bytes) {
    const json::value* value = m_object.if_contains(key);
    if (value == nullptr && !is_needed) {
      return {};
    }
    const json::string* text = value ? value->if_string() : nullptr;
    if (text == nullptr || text->size() > max_bytes ||
        (is_needed && text->empty())) {
      Add(key, "a string of at most " + std::to_string(max_bytes) + " bytes");
      return {};
    }
    return std::string(*text);
  }

  std::optional<std::int64_t> Number(const char* key,
                                     std::int64_t low,
                                     std::int64_t high) {
    const json::value* value = m_object.if_contains(key);
    if (value == nullptr) {
      return std::nullopt;
    }
    const std::int64_t* number = value->if_int64();
    if (number == nullptr || *number < low || *number > high) {
      Add(key, "a whole number from " + std::to_string(low) + " to " +
                   std::to_string(high));
      return std::nullopt;
    }
    return *number;
  }

  Problems TakeProblems() { return std::move(m_problems); }

 private:
  void Add(const char* key, std::string expected) {
    m_problems.list.push_back(Problem{key, std::move(expected)});
  }

  const json::object& m_object;
  Problems m_problems;
};

int StatusOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case RefusalReason::kBadRequest:
    case RefusalReason::kIdNotIssued:
      return 400;
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kIdReused:
    case RefusalReason::kIdExpired:
      return 409;
    case RefusalReason::kTooLarge:
      return 413;
    case RefusalReason::kCallerLimit:
      return 429;
    case RefusalReason::kDeadlinePassed:
      return 504;
    default:
      return 503;
  }
}

json::array HitsJson(const std::vector<Hit>& hits) {
  json::array list;
  list.reserve(hits.size());
  for (const Hit& hit : hits) {
    list.push_back(
        json::object{{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
  }
  return list;
}

json::array MissingJson(const std::vector<MissingShard>& missing) {
  json::array list;
  for (const MissingShard& shard : missing) {
    list.push_back(
        json::object{{"shard", shard.shard}, {"covered", shard.covered}});
  }
  return list;
}

json::object AnswerJson(const SearchAnswer& answer) {
  return json::object{
      {"snapshot", json::object{{"version", answer.version.number},
                                {"layout", answer.version.layout}}},
      {"coverage", answer.coverage},
      {"missing", MissingJson(answer.missing)},
      {"hits", HitsJson(answer.hits)}};
}

std::string_view GetString(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string_view(value->get_string().data(),
                          value->get_string().size());
}

// Rounded up, because the unit of the HTTP header is whole seconds.
std::string RetryAfterSeconds(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

}  // namespace

Result<CallerSearch> ParseCallerSearch(std::string_view text) {
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return Fail("", "a JSON object; " + error.message());
  }
  SearchFieldReader reader(value.get_object());
  CallerSearch search;
  search.service = reader.Text("service", true, kMaxNameBytes);
  search.query = reader.Text("query", false, kMaxQueryBytes);
  search.caller = reader.Text("caller", false, kMaxNameBytes);
  search.request_id = reader.Text("request_id", false, kMaxNameBytes);
  const auto limit =
      reader.Number("limit", 1, std::numeric_limits<std::uint32_t>::max());
  if (limit) {
    search.limit = static_cast<std::uint32_t>(*limit);
  }
  const auto deadline = reader.Number("deadline_ms", 1, kMaxDeadline.count());
  if (deadline) {
    search.time_left = std::chrono::milliseconds(*deadline);
  }
  Problems problems = reader.TakeProblems();
  if (!problems.list.empty()) {
    return boost::leaf::new_error(std::move(problems));
  }
  return search;
}

std::string ToJson(const CallerSearch& search) {
  json::object object{{"service", search.service},
                      {"query", search.query},
                      {"caller", search.caller},
                      {"request_id", search.request_id}};
  if (search.limit) {
    object["limit"] = *search.limit;
  }
  if (search.time_left) {
    object["deadline_ms"] =
        std::max<std::int64_t>(1, ToMilliseconds(*search.time_left));
  }
  return json::serialize(object);
}

std::string ToJson(const AddressAnswer& answer) {
  json::array entries;
  for (const DaemonAddress& daemon : answer.entries) {
    entries.push_back(json::object{{"address", ToString(daemon.caller)},
                                   {"failure_domain", daemon.failure_domain},
                                   {"region", daemon.region}});
  }
  return json::serialize(
      json::object{{"service", answer.service},
                   {"entries", std::move(entries)},
                   {"keep_ms", ToMilliseconds(answer.keep)},
                   {"request_id_prefix", answer.request_id_prefix},
                   {"generation", answer.generation},
                   {"confirmed", answer.is_confirmed}});
}

CallerReply MakeReply(const std::string& request_id,
                      const SearchOutcome& outcome) {
  if (!outcome.answer) {
    Refusal refusal = outcome.refusal.value_or(Refusal{});
    refusal.verdict = outcome.verdict;
    return MakeReply(request_id, refusal);
  }
  json::object object = AnswerJson(*outcome.answer);
  object["request_id"] = request_id;
  object["verdict"] = ToString(outcome.verdict);
  object["attempts"] = outcome.attempts;
  object["needed"] = outcome.needed;
  CallerReply reply;
  reply.response.body = json::serialize(object);
  reply.verdict = outcome.verdict;
  return reply;
}

CallerReply MakeReply(const std::string& request_id, const Refusal& refusal) {
  json::object object{{"request_id", request_id},
                      {"verdict", ToString(refusal.verdict)},
                      {"reason", ToString(refusal.reason)},
                      {"detail", refusal.detail}};
  CallerReply reply;
  reply.response.status = StatusOf(refusal);
  reply.verdict = refusal.verdict;
  reply.reason = refusal.reason;
  if (refusal.retry_after) {
    object["retry_after_ms"] = ToMilliseconds(*refusal.retry_after);
    reply.response.headers.push_back(
        HttpHeader{"Retry-After", RetryAfterSeconds(*refusal.retry_after)});
  }
  reply.response.body = json::serialize(object);
  return reply;
}

CallerReply ReadReply(int status, std::string body) {
  CallerReply reply;
  reply.response.status = status;
  reply.response.body = std::move(body);
  reply.verdict =
      status == kAnsweredStatus ? Verdict::kRan : Verdict::kMayHaveRun;
  if (status == kAnsweredStatus) {
    return reply;
  }
  json::error_code error;
  const json::value value = json::parse(reply.response.body, error);
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return reply;
  }
  reply.verdict = ParseVerdict(GetString(*object, "verdict"))
                      .value_or(Verdict::kMayHaveRun);
  reply.reason = ParseRefusalReason(GetString(*object, "reason"));
  const json::value* retry = object->if_contains("retry_after_ms");
  if (retry != nullptr && retry->is_int64()) {
    reply.response.headers.push_back(HttpHeader{
        "Retry-After",
        RetryAfterSeconds(std::chrono::milliseconds(retry->get_int64()))});
  }
  return reply;
}

std::string Describe(const Problems& problems) {
  std::string text;
  for (const Problem& problem : problems.list) {
    text += text.empty() ? "" : "; ";
    text += problem.path.empty() ? "" : problem.path + ": ";
    text += "expected " + problem.expected;
  }
  return text;
}

std::uint64_t Fingerprint(const CallerSearch& search) {
  std::string text = search.service;
  text.push_back('\0');
  text += search.query;
  text.push_back('\0');
  text += std::to_string(search.limit.value_or(0));
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace bramleyspoke
