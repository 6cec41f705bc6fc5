#include "connection/posted_vm_list.h"

#include <utility>

#include "connection/event_loop.h"

namespace bramleyspoke {

void PostedVmList::Fetch(
    std::function<void(std::optional<std::vector<VmRecord>>)> done) {
  m_loop.Post([&list = m_list, done = std::move(done)]() mutable {
    list.Fetch(std::move(done));
  });
}

}  // namespace bramleyspoke
