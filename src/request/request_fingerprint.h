#pragma once

#include <cstdint>

#include "connection/http_message.h"

namespace bramleyspoke {

/// Fingerprint of the request's method, target and body.
std::uint64_t FingerprintOf(const HttpRequest& request);

/// Fingerprint of all requests with this method, path and body, whatever their
/// query; differs from that of each request.
std::uint64_t ResourceFingerprintOf(const HttpRequest& request);

}  // namespace bramleyspoke
