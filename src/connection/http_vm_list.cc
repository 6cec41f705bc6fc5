#include "connection/http_vm_list.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "base/enum_names.h"
#include "base/time.h"
#include "connection/event_loop.h"
#include "connection/http_client.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr int kHttpOk = 200;

constexpr EnumNames<VmState, 2> kStateNames{{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}}};

std::string_view TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string_view(value->get_string())
             : std::string_view();
}

std::optional<VmRecord> ParseRecord(const json::value& item) {
  const json::object* object = item.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto address = ParseEndpoint(TextAt(*object, "address"));
  const auto state = kStateNames.ValueOf(TextAt(*object, "state"));
  if (!address || !state) {
    return std::nullopt;
  }
  return VmRecord{*address, *state};
}

// One malformed record makes the whole list invalid: with a partial list, the
// missing VMs would look removed.
std::optional<std::vector<VmRecord>> ParseRecords(std::string_view body) {
  json::error_code error;
  const json::value parsed = json::parse({body.data(), body.size()}, error);
  if (error || !parsed.is_array()) {
    return std::nullopt;
  }
  std::vector<VmRecord> records;
  for (const json::value& item : parsed.get_array()) {
    const auto record = ParseRecord(item);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(*record);
  }
  return records;
}

class HttpVmListImpl final : public HttpVmList {
 public:
  HttpVmListImpl(EventLoop& loop, Endpoint server)
      : m_loop(loop),
        m_server(std::move(server)),
        m_is_alive(std::make_shared<bool>(true)) {}

  ~HttpVmListImpl() override { *m_is_alive = false; }

  void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) override {
    const TimePoint deadline = std::chrono::steady_clock::now() + kCallTimeout;
    HttpCall(m_loop, m_server, HttpRequest{"GET", "/vms", {}, ""}, deadline,
             [is_alive = m_is_alive,
              done = std::move(done)](const HttpOutcome& outcome) {
               if (!*is_alive) {
                 return;
               }
               const bool is_answered =
                   outcome.response && outcome.response->status == kHttpOk;
               done(is_answered ? ParseRecords(outcome.response->body)
                                : std::nullopt);
             });
  }

 private:
  EventLoop& m_loop;
  Endpoint m_server;
  std::shared_ptr<bool> m_is_alive;
};

}  // namespace

std::unique_ptr<HttpVmList> HttpVmList::Create(EventLoop& loop,
                                               const Endpoint& server) {
  return std::make_unique<HttpVmListImpl>(loop, server);
}

}  // namespace bramleyspoke
