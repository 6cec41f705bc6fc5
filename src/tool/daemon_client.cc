#include "tool/daemon_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>

#include "connection/http_client.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;

// These helpers throw if a member is absent or of another type. The Parse
// functions below catch the exception and treat the text as malformed.
std::string Text(const json::object& object, std::string_view key) {
  const json::string& text = object.at({key.data(), key.size()}).as_string();
  return {text.data(), text.size()};
}

Endpoint Address(const json::object& object, std::string_view key) {
  return ParseEndpoint(Text(object, key)).value();
}

json::object ParseObject(std::string_view text) {
  return json::parse({text.data(), text.size()}).as_object();
}

DaemonStatus ReadStatus(const json::object& object) {
  DaemonStatus status;
  status.address = Address(object, "address");
  status.generation = object.at("generation").to_number<std::uint64_t>();
  status.is_confirmed = object.at("confirmed").as_bool();
  status.is_ready = object.at("ready").as_bool();
  status.is_stopping = object.at("stopping").as_bool();
  status.failure_domain = Text(object, "failure_domain");
  status.region = Text(object, "region");
  status.in_flight = object.at("in_flight").to_number<std::uint64_t>();
  for (const json::value& member : object.at("members").as_array()) {
    status.members.push_back(Address(member.as_object(), "caller"));
  }
  return status;
}

EntryList ReadEntries(const json::object& object) {
  EntryList list;
  for (const json::value& entry : object.at("entries").as_array()) {
    list.entries.push_back(Address(entry.as_object(), "address"));
  }
  list.valid_for =
      std::chrono::milliseconds(object.at("keep_ms").to_number<std::int64_t>());
  list.request_id_prefix = Text(object, "request_id_prefix");
  return list;
}

SearchRefusal ReadRefusal(const json::object& object) {
  SearchRefusal refusal;
  refusal.verdict = ParseVerdict(Text(object, "verdict")).value();
  refusal.reason = Text(object, "reason");
  refusal.detail = Text(object, "detail");
  if (const json::value* retry = object.if_contains("retry_after_ms")) {
    refusal.retry_after =
        std::chrono::milliseconds(retry->to_number<std::int64_t>());
  }
  return refusal;
}

}  // namespace

DaemonCallResult CallDaemon(const Endpoint& daemon,
                            const std::string& target,
                            const std::optional<std::string>& body,
                            Duration timeout) {
  HttpRequest request;
  request.method = body ? "POST" : "GET";
  request.target = target;
  request.body = body.value_or("");
  HttpOutcome outcome = HttpCallAndWait(daemon, request, timeout);
  if (!outcome.response) {
    return DaemonCallResult{std::nullopt, MayHaveArrived(outcome.failure)};
  }
  return DaemonCallResult{DaemonResponse{outcome.response->status,
                                         std::move(outcome.response->body)},
                          true};
}

DaemonCallResult CallFirstAvailable(const std::vector<Endpoint>& daemons,
                                    const std::string& target,
                                    Duration timeout) {
  DaemonCallResult last;
  for (const Endpoint& daemon : daemons) {
    DaemonCallResult call = CallDaemon(daemon, target, std::nullopt, timeout);
    if (call.response && call.response->status == kStatusOk) {
      return call;
    }
    if (call.response || !last.response) {
      last = std::move(call);
    }
  }
  return last;
}

std::optional<DaemonStatus> ParseDaemonStatus(std::string_view text) {
  try {
    return ReadStatus(ParseObject(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<EntryList> ParseEntryList(std::string_view text) {
  try {
    return ReadEntries(ParseObject(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

SearchRefusal ParseSearchRefusal(std::string_view text) {
  try {
    return ReadRefusal(ParseObject(text));
  } catch (const std::exception&) {
    return SearchRefusal{};
  }
}

}  // namespace bramleyspoke
