#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/backend_server.h"
#include "stand_in/leaf_fault.h"

namespace bramleyspoke {
class HttpExchange;
}  // namespace bramleyspoke

namespace bramleyspoke::StandIn {

class DelayedCalls;

/// The hits of a shard: ids "service/shard/version/n", the layout and query in
/// the text, so that a checker can tell what each hit answers.
std::vector<Hit> MakeHits(const Attempt& attempt, std::uint32_t count);

/// HTTP status that goes with a refusal.
int StatusOf(LeafReason reason);

/// Attempt named by the body of POST /cancel; empty if malformed.
std::string ParseCancelledId(std::string_view body);

/// Answers `attempt`, spoiled by `fault`.
void SendAnswer(DelayedCalls& calls,
                const std::shared_ptr<HttpExchange>& exchange,
                const Attempt& attempt,
                const AttemptOutcome& outcome,
                const LeafFault& fault);

}  // namespace bramleyspoke::StandIn
