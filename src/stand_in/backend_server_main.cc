#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "stand_in/backend_server_host.h"
#include "stand_in/program.h"

namespace bramleyspoke::StandIn {
namespace {

namespace options = boost::program_options;

std::string ReadAll(std::istream& stream) {
  return {std::istreambuf_iterator<char>(stream), {}};
}

std::string ReadConfig(const std::string& path) {
  if (path == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream file(path);
  return ReadAll(file);
}

}  // namespace

static Result<void> Run(int argc, char** argv) {
  std::string path;
  std::size_t threads = 1;
  options::options_description known("backend_server");
  known.add_options()("config", options::value(&path)->required(),
                      "JSON file, or - for standard input")(
      "threads", options::value(&threads),
      "number of event loops for the leafs");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail("command line", error.what());
  }
  BlockStopSignals();
  BOOST_LEAF_AUTO(config, ParseBackendServerConfig(ReadConfig(path)));
  BOOST_LEAF_AUTO(host, BackendServerHost::Create(config, threads));
  std::cout << "ready" << std::endl;
  WaitForStopSignal();
  return {};
}

}  // namespace bramleyspoke::StandIn

int main(int argc, char** argv) {
  return bramleyspoke::StandIn::RunProgram(
      [&] { return bramleyspoke::StandIn::Run(argc, argv); });
}
