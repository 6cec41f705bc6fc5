#include "caller_message.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;

json::value Parse(std::string_view body) {
  return json::parse({body.data(), body.size()});
}

void ReadAnswer(const json::value& reply, CallerEvent& event) {
  const json::value& snapshot = reply.at("snapshot");
  event.answer.version.number =
      snapshot.at("version").to_number<std::uint64_t>();
  event.answer.version.layout =
      json::value_to<std::string>(snapshot.at("layout"));
  event.answer.coverage = reply.at("coverage").to_number<double>();
  for (const json::value& missing : reply.at("missing").as_array()) {
    event.answer.missing.push_back(
        MissingShard{missing.at("shard").to_number<std::uint32_t>(),
                     missing.at("covered").to_number<double>()});
  }
  for (const json::value& hit : reply.at("hits").as_array()) {
    event.answer.hits.push_back(
        Hit{json::value_to<std::string>(hit.at("id")),
            hit.at("score").to_number<double>(),
            json::value_to<std::string>(hit.at("text"))});
  }
  event.attempts = reply.at("attempts").to_number<std::uint32_t>();
  event.needed = reply.at("needed").to_number<std::uint32_t>();
}

void ReadReply(int status, std::string_view body, CallerEvent& event) {
  const json::value reply = Parse(body);
  event.request_id = json::value_to<std::string>(reply.at("request_id"));
  event.verdict =
      ParseVerdict(reply.at("verdict").as_string()).value_or(event.verdict);
  if (status == kOk) {
    event.end = CallerEnd::kAnswered;
    ReadAnswer(reply, event);
  } else {
    event.end = CallerEnd::kRefused;
    event.reason = json::value_to<std::string>(reply.at("reason"));
  }
}

}  // namespace

AddressAnswer ParseAddressAnswer(std::string_view body) {
  AddressAnswer answer;
  try {
    const json::value reply = Parse(body);
    for (const json::value& entry : reply.at("entries").as_array()) {
      const auto address = ParseEndpoint(entry.at("address").as_string());
      if (address) {
        answer.addresses.push_back(*address);
      }
    }
    answer.valid_for = std::chrono::milliseconds(
        reply.at("keep_ms").to_number<std::int64_t>());
    answer.request_id_prefix =
        json::value_to<std::string>(reply.at("request_id_prefix"));
  } catch (const std::exception&) {
    return {};
  }
  return answer;
}

std::string EncodeSearch(const CallerEvent& event,
                         const std::string& caller,
                         Duration time_left) {
  json::object body{
      {"service", event.service},
      {"query", event.query},
      {"limit", event.limit},
      {"caller", caller},
      {"deadline_ms", std::max<long long>(1, ToMilliseconds(time_left))}};
  if (!event.sent_id.empty()) {
    body["request_id"] = event.sent_id;
  }
  return json::serialize(body);
}

void ReadSearchReply(int status, std::string_view body, CallerEvent& event) {
  try {
    ReadReply(status, body, event);
  } catch (const std::exception& error) {
    event.end = CallerEnd::kLost;
    event.reason = std::string("malformed reply: ") + error.what();
  }
}

}  // namespace bramleyspoke::Harness
