#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "base/problems.h"
#include "connection/event_loop.h"
#include "platform/platform_discovery.h"
#include "platform/platform_protocol.h"
#include "platform/store_client.h"
#include "platform/store_entries.h"
#include "process/daemon.h"
#include "process/log.h"
#include "process/relay_daemon.h"
#include "process/relay_settings.h"
#include "process/settings.h"

namespace {

using bramleyspoke::Problems;
using bramleyspoke::RelaySettings;
using bramleyspoke::Result;
using bramleyspoke::Settings;

constexpr int kExitCutOff = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitBind = 4;

struct CommandLine {
  std::string settings_file;
  bool is_check_only = false;
  bool is_help_requested = false;
};

CommandLine ParseCommandLine(int argc, char** argv, std::string& usage) {
  namespace options = boost::program_options;
  CommandLine line;
  options::options_description description(
      "bramleyspoked: a daemon of the query tier\n\nOptions");
  description.add_options()("help",
                            options::bool_switch(&line.is_help_requested),
                            "print this help and exit")(
      "settings",
      options::value<std::string>(&line.settings_file)->value_name("FILE"),
      "settings in JSON with comments")(
      "check", options::bool_switch(&line.is_check_only),
      "check the settings and exit without starting the daemon");
  std::ostringstream text;
  text << description
       << "\nExit codes: 0 planned stop completed, 1 planned stop cut off "
          "requests,\n2 usage error, 3 settings rejected, 4 address "
          "unavailable.\n";
  usage = text.str();
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  return line;
}

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return bramleyspoke::Fail("", "a readable file: " + file);
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<int> Serve(const Settings& settings) {
  BOOST_LEAF_AUTO(daemon, bramleyspoke::Daemon::Create(settings));
  return daemon->Run() ? EXIT_SUCCESS : kExitCutOff;
}

Result<RelaySettings> ReadRelaySettings(const std::string& file) {
  BOOST_LEAF_AUTO(text, ReadFile(file));
  return bramleyspoke::ParseRelaySettings(text);
}

Result<int> Relay(const RelaySettings& settings, const std::string& file) {
  const bramleyspoke::Platform::PlatformProtocol protocol;
  const bramleyspoke::Platform::StoreEntries schema;
  const bramleyspoke::Platform::PlatformDiscovery entry;
  const bramleyspoke::RelayAdapters adapters{
      protocol, schema, entry,
      [](bramleyspoke::EventLoop& loop, const bramleyspoke::Endpoint& store) {
        return bramleyspoke::Platform::StoreClient::Create(loop, store);
      }};
  BOOST_LEAF_AUTO(daemon,
                  bramleyspoke::RelayDaemon::Create(settings, adapters, [file] {
                    return ReadRelaySettings(file);
                  }));
  return daemon->Run() ? EXIT_SUCCESS : kExitCutOff;
}

int CheckSettingsAndServe(const CommandLine& line) {
  int failure_code = kExitSettings;
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(text, ReadFile(line.settings_file));
        if (bramleyspoke::IsRelaySettings(text)) {
          BOOST_LEAF_AUTO(relay, bramleyspoke::ParseRelaySettings(text));
          if (line.is_check_only) {
            std::cout << "settings: ok\n";
            return EXIT_SUCCESS;
          }
          bramleyspoke::StartLog(relay.log_level);
          failure_code = kExitBind;
          return Relay(relay, line.settings_file);
        }
        BOOST_LEAF_AUTO(settings, bramleyspoke::ParseSettings(text));
        if (line.is_check_only) {
          std::cout << "settings: ok\n";
          return EXIT_SUCCESS;
        }
        bramleyspoke::StartLog(settings.log_level);
        failure_code = kExitBind;
        return Serve(settings);
      },
      [&](const Problems& problems) {
        std::cerr << ToString(problems);
        return failure_code;
      },
      [&] { return failure_code; });
}

}  // namespace

int main(int argc, char** argv) {
  std::string usage;
  try {
    const CommandLine line = ParseCommandLine(argc, argv, usage);
    if (line.is_help_requested) {
      std::cout << usage;
      return EXIT_SUCCESS;
    }
    if (line.settings_file.empty()) {
      std::cerr << usage;
      return kExitUsage;
    }
    return CheckSettingsAndServe(line);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << usage;
    return kExitUsage;
  }
}
