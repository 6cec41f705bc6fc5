#include "stand_in/leaf_answer.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "connection/http_server.h"
#include "connection/leaf_message.h"
#include "stand_in/delayed_calls.h"
#include "stand_in/json_response.h"

namespace bramleyspoke::StandIn {
namespace {

// Lets the first half of a response be sent before the connection is closed.
constexpr Duration kHalfResponseDelay = std::chrono::milliseconds(5);

// Scores of different shards are close, so that their hits interleave when
// merged by score.
double ScoreOf(std::uint32_t shard, std::uint32_t n) {
  return 1000.0 - n - shard * 1e-6;
}

void SendHalf(DelayedCalls& calls,
              const std::shared_ptr<HttpExchange>& exchange,
              std::string_view body) {
  exchange->StreamBegin(HttpResponse{});
  exchange->StreamChunk(body.substr(0, body.size() / 2));
  calls.After(kHalfResponseDelay, [exchange] { exchange->Abort(); });
}

Attempt WithWrongEcho(Attempt attempt, std::string_view field) {
  if (field == "version") {
    ++attempt.version.number;
  } else if (field == "layout") {
    attempt.version.layout += "'";
  } else {
    ++attempt.shard;
  }
  return attempt;
}

}  // namespace

std::vector<Hit> MakeHits(const Attempt& attempt, std::uint32_t count) {
  const std::string prefix = attempt.service + "/" +
                             std::to_string(attempt.shard) + "/" +
                             std::to_string(attempt.version.number) + "/";
  const std::string text = attempt.version.layout + ": " + attempt.query;
  std::vector<Hit> hits;
  for (std::uint32_t n = 0; n < std::min(count, attempt.limit); ++n) {
    hits.push_back(
        Hit{prefix + std::to_string(n), ScoreOf(attempt.shard, n), text});
  }
  return hits;
}

int StatusOf(LeafReason reason) {
  switch (reason) {
    case LeafReason::kVersionMissing:
      return 409;
    case LeafReason::kDeadline:
      return 504;
    default:
      return 503;
  }
}

std::string ParseCancelledId(std::string_view body) {
  boost::json::error_code error;
  const auto parsed = boost::json::parse({body.data(), body.size()}, error);
  if (error || !parsed.is_object()) {
    return {};
  }
  const auto* id = parsed.get_object().if_contains("attempt_id");
  return id != nullptr && id->is_string() ? std::string(id->get_string())
                                          : std::string();
}

void SendAnswer(DelayedCalls& calls,
                const std::shared_ptr<HttpExchange>& exchange,
                const Attempt& attempt,
                const AttemptOutcome& outcome,
                const LeafFault& fault) {
  if (fault.kind == LeafFaultKind::kDropAnswer) {
    exchange->Abort();
    return;
  }
  if (fault.kind == LeafFaultKind::kHalfAnswer) {
    SendHalf(calls, exchange, EncodeOutcome(attempt, outcome));
    return;
  }
  Attempt echoed = attempt;
  if (fault.kind == LeafFaultKind::kWrongId) {
    echoed.attempt_id += "-other";
  } else if (fault.kind == LeafFaultKind::kWrongEcho) {
    echoed = WithWrongEcho(attempt, fault.text);
  }
  exchange->Respond(JsonResponse(200, EncodeOutcome(echoed, outcome)));
}

}  // namespace bramleyspoke::StandIn
