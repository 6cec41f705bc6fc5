#include <iostream>

#include "connection/event_loop.h"
#include "stand_in/program.h"
#include "stand_in/service_options.h"
#include "stand_in/vm_list_server.h"

namespace bramleyspoke::StandIn {

static Result<void> Run(int argc, char** argv) {
  BOOST_LEAF_AUTO(parsed, ParseServiceOptions(argc, argv));
  BlockStopSignals();
  const auto loop = EventLoop::Create();
  BOOST_LEAF_AUTO(server,
                  VmListServer::Create(*loop, parsed.ports, parsed.lag));
  loop->Start();
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  loop->Stop();
  return {};
}

}  // namespace bramleyspoke::StandIn

int main(int argc, char** argv) {
  return bramleyspoke::StandIn::RunProgram(
      [&] { return bramleyspoke::StandIn::Run(argc, argv); });
}
