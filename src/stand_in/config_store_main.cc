#include <iostream>

#include "connection/event_loop.h"
#include "stand_in/config_store_server.h"
#include "stand_in/program.h"
#include "stand_in/service_options.h"

namespace bramleyspoke::StandIn {

static Result<void> Run(int argc, char** argv) {
  BOOST_LEAF_AUTO(parsed, ParseServiceOptions(argc, argv));
  BlockStopSignals();
  const auto loop = EventLoop::Create();
  BOOST_LEAF_AUTO(server, ConfigStoreServer::Create(*loop, parsed.ports));
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
