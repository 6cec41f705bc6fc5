#include "history.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "base/enum_names.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr EnumNames<LeafEventKind, 6> kKindNames{{{
    {LeafEventKind::kReceived, "received"},
    {LeafEventKind::kStarted, "started"},
    {LeafEventKind::kFinished, "finished"},
    {LeafEventKind::kCancelled, "cancelled"},
    {LeafEventKind::kCrashed, "crashed"},
    {LeafEventKind::kRefused, "refused"},
}}};

LeafEvent ParseLeafEvent(std::string_view line) {
  const json::value row = json::parse(line);
  LeafEvent event;
  event.sequence = row.at("seq").to_number<std::uint64_t>();
  event.kind = kKindNames.ValueOf(row.at("event").as_string()).value();
  event.at = TimePoint(Duration(row.at("at_ns").to_number<std::int64_t>()));
  event.leaf = json::value_to<std::string>(row.at("leaf"));
  event.request_id = json::value_to<std::string>(row.at("request_id"));
  event.attempt_id = json::value_to<std::string>(row.at("attempt_id"));
  event.service = json::value_to<std::string>(row.at("service"));
  event.shard = row.at("shard").to_number<std::uint32_t>();
  event.version.number = row.at("version").to_number<std::uint64_t>();
  event.version.layout = json::value_to<std::string>(row.at("layout"));
  event.is_idempotent = row.at("idempotent").as_bool();
  return event;
}

}  // namespace

std::string_view ToString(LeafEventKind kind) {
  return kKindNames.NameOf(kind);
}

std::vector<LeafEvent> ParseLeafLog(std::string_view lines) {
  std::vector<LeafEvent> events;
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    if (end > 0) {
      events.push_back(ParseLeafEvent(lines.substr(0, end)));
    }
    lines.remove_prefix(std::min(end + 1, lines.size()));
  }
  return events;
}

}  // namespace bramleyspoke
