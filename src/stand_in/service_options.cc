#include "stand_in/service_options.h"

#include <boost/program_options.hpp>
#include <string>

namespace bramleyspoke::StandIn {
namespace {

namespace options = boost::program_options;

Result<Endpoint> ReadEndpoint(const std::string& name,
                              const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    return Fail(name, "an IP address and a port, not " + text);
  }
  return *endpoint;
}

}  // namespace

Result<ServiceOptions> ParseServiceOptions(int argc, char** argv) {
  std::string listen;
  std::string control;
  long lag_ms = 0;
  options::options_description known;
  known.add_options()("listen", options::value(&listen)->required(), "")(
      "control", options::value(&control), "")("lag-ms",
                                               options::value(&lag_ms), "");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail("command line", error.what());
  }
  ServiceOptions parsed;
  BOOST_LEAF_AUTO(address, ReadEndpoint("--listen", listen));
  parsed.ports = WithDefaultControl(address);
  if (!control.empty()) {
    BOOST_LEAF_ASSIGN(parsed.ports.control, ReadEndpoint("--control", control));
  }
  parsed.lag = std::chrono::milliseconds(lag_ms);
  return parsed;
}

}  // namespace bramleyspoke::StandIn
