#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// A daemon's answer to the question for a service's addresses.
struct EntriesAnswer {
  std::vector<Endpoint> addresses;
  Duration keep = Duration::zero();
  std::string request_id_prefix;
};

/// Empty addresses when malformed.
EntriesAnswer ParseEntries(std::string_view body);

/// Body of a search as callers send it.
std::string EncodeSearch(const CallerEvent& event,
                         const std::string& caller,
                         Duration time_left);

/// Fills in `event` what came back: an answer for status 200, else a refusal.
void ReadSearchReply(int status, std::string_view body, CallerEvent& event);

}  // namespace bramleyspoke::Harness
