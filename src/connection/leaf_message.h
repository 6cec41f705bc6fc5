#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

/// Body of POST /search, with the time left at `now` as the deadline.
std::string EncodeAttempt(const Attempt& attempt, TimePoint now);
/// Decodes the body of POST /search in a leaf; the time left counts from
/// `now`.
std::optional<Attempt> ParseAttempt(std::string_view body, TimePoint now);

/// Body of a leaf's response to `attempt`, hits or refusal.
std::string EncodeOutcome(const Attempt& attempt,
                          const AttemptOutcome& outcome);
/// Outcome of `attempt` from the HTTP status and body of a leaf's response.
AttemptOutcome ParseOutcome(const Attempt& attempt,
                            int status,
                            std::string_view body);

std::string EncodeStatus(const LeafStatus& status);
std::optional<LeafStatus> ParseStatus(std::string_view body);

}  // namespace bramleyspoke
