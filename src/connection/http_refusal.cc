#include "connection/http_refusal.h"

#include <string>

namespace bramleyspoke::Detail {

HttpResponse MakeUnreadRequestRefusal(int status,
                                      RefusalReason reason,
                                      std::string_view detail) {
  HttpResponse response;
  response.status = status;
  response.body = R"({"verdict":"not_run","reason":")";
  response.body += ToString(reason);
  response.body += R"(","detail":")";
  response.body += detail;
  response.body += "\"}\n";
  return response;
}

}  // namespace bramleyspoke::Detail
