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

/// Hits of a shard with the ids "service/shard/version/n" and the text
/// "layout: query", so that checks can tell which attempt each hit belongs to.
std::vector<Hit> MakeHits(const Attempt& attempt, std::uint32_t count);

/// HTTP status of a refusal for `reason`.
int StatusOf(LeafReason reason);

/// Attempt id in the body of POST /cancel; empty if malformed.
std::string ParseCancelledId(std::string_view body);

/// Responds to `attempt`; a `fault` other than `kNone` drops, truncates or
/// corrupts the response.
void SendAnswer(DelayedCalls& calls,
                const std::shared_ptr<HttpExchange>& exchange,
                const Attempt& attempt,
                const AttemptOutcome& outcome,
                const LeafFault& fault);

}  // namespace bramleyspoke::StandIn
