#include "connection/http_message.h"

#include <strings.h>

namespace bramleyspoke {

std::string_view HeaderValue(const std::vector<HttpHeader>& headers,
                             std::string_view name) {
  const std::string wanted(name);
  for (const HttpHeader& header : headers) {
    if (strcasecmp(header.name.c_str(), wanted.c_str()) == 0) {
      return header.value;
    }
  }
  return {};
}

}  // namespace bramleyspoke
