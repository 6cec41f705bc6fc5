#include "request/request_fingerprint.h"

#include <string>

#include "request/crash_ledger.h"

namespace bramleyspoke {

std::uint64_t FingerprintOf(const HttpRequest& request) {
  return FingerprintOfContent(request.method, request.target, request.body);
}

// A request that crashes leafs may come again with the same path and body but
// with another query. Its crashes must not be taken back by an answer to
// another query, so the path is told from the request without a query by a
// character that no target contains.
std::uint64_t ResourceFingerprintOf(const HttpRequest& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  return FingerprintOfContent(request.method, path + " ", request.body);
}

}  // namespace bramleyspoke
