#pragma once

#include <string>
#include <utility>

#include "connection/http_message.h"

namespace bramleyspoke::StandIn {

inline HttpResponse JsonResponse(int status, std::string body = "{}") {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace bramleyspoke::StandIn
