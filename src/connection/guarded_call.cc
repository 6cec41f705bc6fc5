#include "connection/guarded_call.h"

#include <exception>

#include "process/log.h"

namespace bramleyspoke {

bool RunGuarded(std::string_view place, const std::function<void()>& call) {
  try {
    call();
    return true;
  } catch (const std::exception& error) {
    WriteLog(LogLevel::kError, "exception",
             {Field("place", place), Field("error", error.what())});
    return false;
  }
}

}  // namespace bramleyspoke
