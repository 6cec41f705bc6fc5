#include "request/request_fingerprint.h"

#include <string_view>

#include "request/crash_ledger.h"

namespace bramleyspoke {

std::uint64_t FingerprintOf(const HttpRequest& request) {
  return FingerprintOfContent(request.method, request.target, request.body);
}

// A request that crashes leafs may come again with the same path and body but
// with another query.
std::uint64_t ResourceFingerprintOf(const HttpRequest& request) {
  const std::size_t query = request.target.find('?');
  return query == std::string::npos
             ? 0
             : FingerprintOfContent(
                   request.method,
                   std::string_view(request.target).substr(0, query),
                   request.body);
}

}  // namespace bramleyspoke
