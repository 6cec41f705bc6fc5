#pragma once

#include <string_view>

#include "base/refusal.h"
#include "connection/http_message.h"

namespace bramleyspoke::Detail {

/// Response to a request that was not read completely and so was not run.
HttpResponse MakeUnreadRequestRefusal(int status,
                                      RefusalReason reason,
                                      std::string_view detail);

}  // namespace bramleyspoke::Detail
