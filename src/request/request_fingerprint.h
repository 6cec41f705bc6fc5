#pragma once

#include <cstdint>

#include "connection/http_message.h"

namespace bramleyspoke {

/// Fingerprint of the request's method, target and body.
std::uint64_t FingerprintOf(const HttpRequest& request);

/// The same without the query; 0 if the request has none.
std::uint64_t ResourceFingerprintOf(const HttpRequest& request);

}  // namespace bramleyspoke
