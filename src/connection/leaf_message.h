#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection/backend_server.h"

namespace bramleyspoke {

/// Body of POST /search; the leaf is told the time left at `now`.
std::string EncodeAttempt(const Attempt& attempt, TimePoint now);
/// The leaf's side of `EncodeAttempt`: its deadline counts from `now`.
std::optional<Attempt> ParseAttempt(std::string_view body, TimePoint now);

/// Body of an answer or refusal to `attempt`, as a leaf sends it.
std::string EncodeOutcome(const Attempt& attempt,
                          const AttemptOutcome& outcome);
/// What `status` and `body` say about `attempt`.
AttemptOutcome ParseOutcome(const Attempt& attempt,
                            int status,
                            std::string_view body);

std::string EncodeStatus(const LeafStatus& status);
std::optional<LeafStatus> ParseStatus(std::string_view body);

}  // namespace bramleyspoke
