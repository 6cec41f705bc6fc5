#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bramleyspoke {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Value of the first header with this name, in any case; empty if absent.
std::string_view HeaderValue(const std::vector<HttpHeader>& headers,
                             std::string_view name);

}  // namespace bramleyspoke
