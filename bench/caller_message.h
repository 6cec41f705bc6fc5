#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "history.h"

namespace bramleyspoke::Harness {

/// A daemon's answer to an address query for a service.
struct AddressAnswer {
  std::vector<Endpoint> addresses;
  /// How long the answer is valid.
  Duration valid_for = Duration::zero();
  std::string request_id_prefix;
};

/// Returns an answer without addresses if `body` is malformed.
AddressAnswer ParseAddressAnswer(std::string_view body);

/// Encodes the body of a search request.
std::string EncodeSearch(const CallerEvent& event,
                         const std::string& caller,
                         Duration time_left);

/// Parses a response into `event`: an answer for status 200, else a refusal. A
/// malformed response makes the request lost.
void ReadSearchReply(int status, std::string_view body, CallerEvent& event);

}  // namespace bramleyspoke::Harness
