#include "operator.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <optional>

#include "connection/base64.h"
#include "connection/etcd_store.h"
#include "connection/event_loop.h"
#include "fleet.h"

namespace bramleyspoke::Harness {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kCallTimeout{1};
constexpr std::chrono::seconds kPublishTimeout{60};

PublishEnd ToPublishEnd(PublishResult result) {
  switch (result) {
    case PublishResult::kAccepted:
      return PublishEnd::kAccepted;
    case PublishResult::kConflict:
      return PublishEnd::kConflict;
    case PublishResult::kNotPublished:
      return PublishEnd::kNotPublished;
    case PublishResult::kUnknown:
      return PublishEnd::kUnknown;
  }
  return PublishEnd::kUnknown;
}

std::string RangeBody() {
  return json::serialize(json::object{{"key", EncodeBase64(kHeadKey)}});
}

std::vector<StoreEvent> ParseHead(const std::string& text) {
  const json::value reply = json::parse(text);
  const json::value* pairs = reply.as_object().if_contains("kvs");
  if (pairs == nullptr || pairs->as_array().empty()) {
    return {};
  }
  const auto head = DecodeBase64(
      json::value_to<std::string>(pairs->as_array()[0].at("value")));
  const json::value parsed = json::parse(head.value());
  std::vector<StoreEvent> events;
  for (const json::value& publish : parsed.at("publishes").as_array()) {
    events.push_back(
        StoreEvent{publish.at("generation").to_number<std::uint64_t>(),
                   json::value_to<std::string>(publish.at("id"))});
  }
  return events;
}

}  // namespace

PublishEvent PublishTo(const Endpoint& store,
                       const Manifest& manifest,
                       const PublishOptions& options) {
  const auto loop = EventLoop::Create();
  const auto client = EtcdStore::Create(*loop, {store}, kCallTimeout);
  PublishEvent event;
  event.publish_id = options.publish_id;
  std::atomic<bool> is_done = false;
  loop->Post([&] {
    ManifestPublisher::Publish(*client, manifest, options,
                               [&](const PublishOutcome& outcome) {
                                 event.end = ToPublishEnd(outcome.result);
                                 event.generation = outcome.generation;
                                 is_done = true;
                               });
  });
  loop->Start();
  WaitUntil([&] { return is_done.load(); }, kPublishTimeout);
  loop->Stop();
  event.ended_at = std::chrono::steady_clock::now();
  return event;
}

bool IsStoreUp(const Endpoint& store) {
  return Call(store, "POST", "/v3/kv/range", RangeBody()).status == 200;
}

std::vector<StoreEvent> ReadHeadHistory(const Endpoint& store) {
  const HttpResponse response =
      Call(store, "POST", "/v3/kv/range", RangeBody());
  if (response.status != 200) {
    return {};
  }
  try {
    return ParseHead(response.body);
  } catch (const std::exception&) {
    return {};
  }
}

}  // namespace bramleyspoke::Harness
