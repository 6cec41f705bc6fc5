#include "process/caller_api.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <utility>

#include "base/enum_names.h"
#include "process/search_router.h"
#include "request/caller_message.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kAskAnotherRetryAfter{200};

enum class ApiCall {
  kSearch,
  kEntries,
  kHealth,
  kReady,
  kMetrics,
  kDump,
  kStatus,
  kDrain,
  kLogLevel,
};

constexpr EnumNames<ApiCall, 9> kApiCallNames{{{
    {ApiCall::kSearch, "POST /v1/search"},
    {ApiCall::kEntries, "GET /v1/entries"},
    {ApiCall::kHealth, "GET /health"},
    {ApiCall::kReady, "GET /ready"},
    {ApiCall::kMetrics, "GET /metrics"},
    {ApiCall::kDump, "GET /dump"},
    {ApiCall::kStatus, "GET /v1/status"},
    {ApiCall::kDrain, "POST /v1/drain"},
    {ApiCall::kLogLevel, "PUT /v1/log-level"},
}}};

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse BadRequestResponse(std::string detail) {
  return MakeReply("", Refusal{RefusalReason::kBadRequest, Verdict::kNotRun,
                               std::move(detail), std::nullopt})
      .response;
}

bool IsKnownPath(std::string_view path) {
  for (const auto& row : kApiCallNames.rows) {
    if (row.name.substr(row.name.find(' ') + 1) == path) {
      return true;
    }
  }
  return false;
}

HttpResponse UnknownCallResponse(std::string_view path) {
  const bool is_known = IsKnownPath(path);
  HttpResponse response = BadRequestResponse(
      is_known ? "another method is expected" : "unknown path");
  response.status = is_known ? 405 : 404;
  return response;
}

Result<CallerSearch> ParseSearch(const std::string& body,
                                 std::string& problem) {
  return boost::leaf::try_handle_some(
      [&] { return ParseCallerSearch(body); },
      [&](const Problems& problems) -> Result<CallerSearch> {
        problem = Describe(problems);
        return boost::leaf::new_error();
      });
}

// The value of parameter `name` in a query string such as "a=b&c=d". Escapes
// are not decoded, as no name or value needs them.
std::string QueryParameter(std::string_view parameters, std::string_view name) {
  while (!parameters.empty()) {
    const std::size_t end = parameters.find('&');
    const std::string_view pair = parameters.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    parameters = end == std::string_view::npos ? std::string_view()
                                               : parameters.substr(end + 1);
  }
  return {};
}

}  // namespace

void CallerApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  const std::size_t query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string parameters =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  const auto call =
      kApiCallNames.ValueOf(exchange->Request().method + " " + path);
  if (!call) {
    exchange->Respond(UnknownCallResponse(path));
    return;
  }
  switch (*call) {
    case ApiCall::kSearch:
      Search(exchange);
      return;
    case ApiCall::kEntries:
      AnswerAddressQuery(*exchange, parameters);
      return;
    case ApiCall::kHealth:
      exchange->Respond(JsonResponse(200, R"({"health":"ok"})"));
      return;
    case ApiCall::kReady: {
      const bool is_ready = m_actions.IsReady();
      exchange->Respond(
          JsonResponse(is_ready ? 200 : 503,
                       is_ready ? R"({"ready":true})" : R"({"ready":false})"));
      return;
    }
    case ApiCall::kMetrics: {
      HttpResponse response = JsonResponse(200, m_actions.Metrics());
      response.content_type = "text/plain; version=0.0.4";
      exchange->Respond(std::move(response));
      return;
    }
    case ApiCall::kDump:
      m_actions.Dump([exchange](std::string text) {
        exchange->Respond(JsonResponse(200, std::move(text)));
      });
      return;
    case ApiCall::kStatus:
      exchange->Respond(JsonResponse(200, m_actions.Status()));
      return;
    case ApiCall::kDrain:
      m_actions.BeginStop();
      exchange->Respond(JsonResponse(202, R"({"stopping":true})"));
      return;
    case ApiCall::kLogLevel:
      SetLogLevel(*exchange);
      return;
  }
}

void CallerApi::Search(const std::shared_ptr<HttpExchange>& exchange) {
  std::string problem;
  Result<CallerSearch> search = ParseSearch(exchange->Request().body, problem);
  if (!search) {
    exchange->Respond(BadRequestResponse(std::move(problem)));
    return;
  }
  const QueryNumber query =
      m_router.Search(std::move(*search), [this, exchange](CallerReply reply) {
        if (m_actions.IsStopping()) {
          reply.response.headers.push_back(HttpHeader{"Connection", "close"});
        }
        exchange->Respond(std::move(reply.response));
      });
  exchange->OnClientDisconnected(
      [this, query] { m_router.OnCallerDisconnected(query); });
}

// The answer contains a prefix for request ids. Only this process can decide
// whether a non-idempotent request with such an id runs, and a stopping daemon
// may end before the request arrives: it refuses, and callers ask another
// daemon.
void CallerApi::AnswerAddressQuery(HttpExchange& exchange,
                                   const std::string& parameters) {
  if (!m_actions.IsReady()) {
    const RefusalReason reason = m_actions.IsStopping()
                                     ? RefusalReason::kShuttingDown
                                     : RefusalReason::kNotReady;
    exchange.Respond(
        MakeReply("", Refusal{reason, Verdict::kNotRun, "ask another daemon",
                              kAskAnotherRetryAfter})
            .response);
    return;
  }
  const std::string service = QueryParameter(parameters, "service");
  if (!m_router.Table().services.contains(service)) {
    exchange.Respond(
        MakeReply("", Refusal{RefusalReason::kUnknownService, Verdict::kNotRun,
                              "service: expected a service of the manifest",
                              std::nullopt})
            .response);
    return;
  }
  exchange.Respond(
      JsonResponse(200, ToJson(m_router.AnswerAddressQuery(service))));
}

void CallerApi::SetLogLevel(HttpExchange& exchange) {
  json::error_code error;
  const json::value value = json::parse(exchange.Request().body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* level = object ? object->if_contains("level") : nullptr;
  if (level == nullptr || !level->is_string() ||
      !m_actions.SetLogLevel(std::string(level->get_string()))) {
    exchange.Respond(
        BadRequestResponse("level: expected debug, info, warning or error"));
    return;
  }
  exchange.Respond(JsonResponse(200, "{}"));
}

}  // namespace bramleyspoke
