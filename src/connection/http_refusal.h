#pragma once

#include <string_view>

#include "connection/http_message.h"

namespace bramleyspoke::Detail {

/// Answer to a request that could not be read: it was not run.
HttpResponse MakeReadRefusal(int status, std::string_view detail);

}  // namespace bramleyspoke::Detail
