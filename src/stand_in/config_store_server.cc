#include "stand_in/config_store_server.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <exception>
#include <utility>
#include <vector>

#include "connection/base64.h"
#include "connection/event_loop.h"
#include "stand_in/json_response.h"
#include "stand_in/key_value_table.h"

namespace bramleyspoke::StandIn {
namespace {

namespace json = boost::json;

// Calls received, by kind; an open watch is one call.
struct CallCounts {
  std::uint64_t range = 0;
  std::uint64_t put = 0;
  std::uint64_t txn = 0;
  std::uint64_t watch = 0;
};

struct Watcher {
  std::shared_ptr<HttpExchange> exchange;
  std::string key;
};

// The gateway encodes 64-bit numbers as strings and accepts numbers too.
std::int64_t ReadInt64(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_string()) {
    return value->to_number<std::int64_t>();
  }
  const json::string& text = value->get_string();
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string ReadBytes(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr
             ? std::string()
             : DecodeBase64(std::string_view(value->as_string())).value();
}

json::object EncodeKeyValue(const KeyValue& entry) {
  return json::object{
      {"key", EncodeBase64(entry.key)},
      {"create_revision", std::to_string(entry.create_revision)},
      {"mod_revision", std::to_string(entry.mod_revision)},
      {"version", std::to_string(entry.version)},
      {"value", EncodeBase64(entry.value)}};
}

std::int64_t ComparedValue(const std::optional<KeyValue>& entry,
                           std::string_view target) {
  if (!entry) {
    return 0;
  }
  if (target == "MOD") {
    return entry->mod_revision;
  }
  return target == "CREATE" ? entry->create_revision : entry->version;
}

std::string_view CompareField(std::string_view target) {
  if (target == "MOD") {
    return "mod_revision";
  }
  return target == "CREATE" ? "create_revision" : "version";
}

class ConfigStoreServerImpl final : public ConfigStoreServer {
 public:
  Result<void> Listen(EventLoop& loop, ServicePorts ports) {
    BOOST_LEAF_ASSIGN(m_server, FaultyServer::Create(
                                    loop, std::move(ports),
                                    [this](std::shared_ptr<HttpExchange> call) {
                                      Handle(call);
                                    }));
    m_server->OnBreakWatches([this] { BreakWatches(); });
    return {};
  }

  Endpoint Address() const override { return m_server->Address(); }
  Endpoint Control() const override { return m_server->Control(); }
  void Apply(const CallFault& fault) override { m_server->Apply(fault); }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& call) {
    try {
      Route(call);
    } catch (const std::exception&) {
      call->Respond(
          JsonResponse(400, R"({"code":3,"message":"invalid argument"})"));
    }
  }

  void Route(const std::shared_ptr<HttpExchange>& call) {
    const std::string& target = call->Request().target;
    if (target == "/calls") {
      call->Respond(JsonResponse(200, json::serialize(EncodeCalls())));
      return;
    }
    const json::value parsed = json::parse(call->Request().body);
    const json::object& request = parsed.as_object();
    if (target == "/v3/kv/range") {
      ++m_calls.range;
      Respond(*call, Range(request));
    } else if (target == "/v3/kv/put") {
      ++m_calls.put;
      Respond(*call, Put(request));
    } else if (target == "/v3/kv/txn") {
      ++m_calls.txn;
      Respond(*call, Transact(request));
    } else if (target == "/v3/watch") {
      ++m_calls.watch;
      Watch(call, request.at("create_request").as_object());
    } else {
      call->Respond(JsonResponse(404));
    }
  }

  static void Respond(HttpExchange& call, const json::object& body) {
    call.Respond(JsonResponse(200, json::serialize(body)));
  }

  json::object EncodeCalls() const {
    return json::object{{"range", m_calls.range},
                        {"put", m_calls.put},
                        {"txn", m_calls.txn},
                        {"watch", m_calls.watch},
                        {"watch_waiting", m_watchers.size()}};
  }

  json::object Header() const {
    return json::object{{"cluster_id", "1"},
                        {"member_id", "1"},
                        {"revision", std::to_string(m_table.Revision())},
                        {"raft_term", "1"}};
  }

  json::object Range(const json::object& request) const {
    json::array found;
    for (const KeyValue& entry : m_table.Range(
             ReadBytes(request, "key"), ReadBytes(request, "range_end"))) {
      found.push_back(EncodeKeyValue(entry));
    }
    json::object response{{"header", Header()}};
    if (!found.empty()) {
      response["count"] = std::to_string(found.size());
      response["kvs"] = std::move(found);
    }
    return response;
  }

  json::object Put(const json::object& request) {
    const KeyValue entry =
        m_table.Put(ReadBytes(request, "key"), ReadBytes(request, "value"));
    NotifyWatchers(entry);
    return json::object{{"header", Header()}};
  }

  json::object Transact(const json::object& request) {
    const bool has_succeeded = HaveComparesSucceeded(request);
    json::array responses;
    const json::value* operations =
        request.if_contains(has_succeeded ? "success" : "failure");
    if (operations != nullptr) {
      for (const json::value& operation : operations->as_array()) {
        responses.push_back(ExecuteOperation(operation.as_object()));
      }
    }
    json::object response{{"header", Header()}, {"responses", responses}};
    if (has_succeeded) {
      response["succeeded"] = true;
    }
    return response;
  }

  bool HaveComparesSucceeded(const json::object& request) const {
    const json::value* compares = request.if_contains("compare");
    if (compares == nullptr) {
      return true;
    }
    const json::array& list = compares->as_array();
    return std::all_of(list.begin(), list.end(), [this](const auto& compare) {
      return IsEqual(compare.as_object());
    });
  }

  bool IsEqual(const json::object& compare) const {
    const std::string target(compare.at("target").as_string());
    const auto entry = m_table.Find(ReadBytes(compare, "key"));
    return ComparedValue(entry, target) ==
           ReadInt64(compare, CompareField(target));
  }

  json::object ExecuteOperation(const json::object& operation) {
    if (const json::value* put = operation.if_contains("request_put")) {
      return json::object{{"response_put", Put(put->as_object())}};
    }
    return json::object{
        {"response_range", Range(operation.at("request_range").as_object())}};
  }

  void Watch(const std::shared_ptr<HttpExchange>& call,
             const json::object& request) {
    const std::string key = ReadBytes(request, "key");
    const std::int64_t start = ReadInt64(request, "start_revision");
    call->StreamBegin(HttpResponse{});
    if (start > 0 && start < m_table.OldestRevision()) {
      SendResult(*call, {{"header", Header()},
                         {"canceled", true},
                         {"compact_revision",
                          std::to_string(m_table.OldestRevision())}});
      return;
    }
    SendResult(*call, {{"header", Header()}, {"created", true}});
    if (start > 0) {
      for (const KeyValue& change : m_table.ChangesOf(key, start)) {
        SendEvent(*call, change);
      }
    }
    m_watchers.push_back(Watcher{call, key});
    call->OnClientDisconnected(
        [this, raw = call.get()] { RemoveWatcher(raw); });
  }

  void RemoveWatcher(const HttpExchange* call) {
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(),
                                    [call](const Watcher& watcher) {
                                      return watcher.exchange.get() == call;
                                    }),
                     m_watchers.end());
  }

  void NotifyWatchers(const KeyValue& change) {
    for (const Watcher& watcher : m_watchers) {
      if (watcher.key == change.key) {
        SendEvent(*watcher.exchange, change);
      }
    }
  }

  void SendEvent(HttpExchange& call, const KeyValue& change) {
    json::object event{{"kv", EncodeKeyValue(change)}};
    SendResult(call, {{"header", Header()}, {"events", json::array{event}}});
  }

  static void SendResult(HttpExchange& call, const json::object& result) {
    call.StreamChunk(json::serialize(json::object{{"result", result}}) + "\n");
  }

  void BreakWatches() {
    const auto watchers = std::exchange(m_watchers, {});
    for (const Watcher& watcher : watchers) {
      watcher.exchange->Abort();
    }
  }

  KeyValueTable m_table;
  CallCounts m_calls;
  std::vector<Watcher> m_watchers;
  std::unique_ptr<FaultyServer> m_server;
};

}  // namespace

Result<std::unique_ptr<ConfigStoreServer>> ConfigStoreServer::Create(
    EventLoop& loop,
    ServicePorts ports) {
  auto server = std::make_unique<ConfigStoreServerImpl>();
  BOOST_LEAF_CHECK(server->Listen(loop, std::move(ports)));
  return std::unique_ptr<ConfigStoreServer>(std::move(server));
}

}  // namespace bramleyspoke::StandIn
