#include "connection/http_refusal.h"

#include <string>

namespace bramleyspoke::Detail {

HttpResponse MakeUnreadableRequestRefusal(int status, std::string_view detail) {
  HttpResponse response;
  response.status = status;
  response.body = R"({"verdict":"not_run","reason":"bad_request","detail":")" +
                  std::string(detail) + "\"}\n";
  return response;
}

}  // namespace bramleyspoke::Detail
