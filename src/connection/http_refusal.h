#pragma once

#include <string_view>

#include "connection/http_message.h"

namespace bramleyspoke::Detail {

/// Response to a request that could not be read and so was not run.
HttpResponse MakeUnreadableRequestRefusal(int status, std::string_view detail);

}  // namespace bramleyspoke::Detail
