#include "tool/command_options.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <functional>
#include <sstream>

namespace bramleyspoke {
namespace {

namespace options = boost::program_options;

std::vector<std::string> SplitAtCommas(const std::vector<std::string>& values) {
  std::vector<std::string> parts;
  for (const std::string& value : values) {
    std::istringstream stream(value);
    for (std::string part; std::getline(stream, part, ',');) {
      parts.push_back(part);
    }
  }
  return parts;
}

}  // namespace

struct CommandOptions::Impl {
  using Check = std::function<void(Problems&)>;

  /// A `count` of -1 means all remaining arguments.
  void AddPositionalName(const char* name, int count, const char* help);

  options::options_description named{"Options"};
  options::options_description positionals;
  options::positional_options_description positions;
  std::string positional_names;
  std::string positional_help;
  /// Checks and conversions that Boost does not do; executed after parsing.
  std::vector<Check> checks;
};

CommandOptions::CommandOptions() : m_impl(std::make_unique<Impl>()) {}

CommandOptions::~CommandOptions() = default;

void CommandOptions::AddFlag(const char* name, bool& target, const char* help) {
  m_impl->named.add_options()(name, options::bool_switch(&target), help);
}

void CommandOptions::AddText(const char* name,
                             std::string& target,
                             const char* help) {
  m_impl->named.add_options()(name, options::value(&target)->value_name("TEXT"),
                              help);
}

void CommandOptions::AddNumber(const char* name,
                               std::optional<std::uint64_t>& target,
                               const char* help) {
  auto* value = options::value<std::uint64_t>()->value_name("N")->notifier(
      [&target](std::uint64_t number) { target = number; });
  m_impl->named.add_options()(name, value, help);
}

void CommandOptions::AddRatio(const char* name,
                              double& target,
                              const char* help) {
  m_impl->named.add_options()(
      name, options::value(&target)->value_name("SHARE"), help);
  m_impl->checks.emplace_back([name, &target](Problems& problems) {
    if (!(target >= 0 && target <= 1)) {
      problems.list.push_back({name, "a number from 0 to 1"});
    }
  });
}

void CommandOptions::AddMilliseconds(const char* name,
                                     Duration& target,
                                     const char* help) {
  auto* value = options::value<std::uint32_t>()->value_name("MS")->notifier(
      [&target](std::uint32_t count) {
        target = std::chrono::milliseconds(count);
      });
  m_impl->named.add_options()(name, value, help);
}

void CommandOptions::AddEndpoints(const char* name,
                                  std::vector<Endpoint>& target,
                                  const char* help) {
  auto values = std::make_shared<std::vector<std::string>>();
  m_impl->named.add_options()(
      name, options::value(values.get())->value_name("IP:PORT"), help);
  m_impl->checks.emplace_back([name, values, &target](Problems& problems) {
    for (const std::string& value : SplitAtCommas(*values)) {
      const auto endpoint = ParseEndpoint(value);
      if (endpoint) {
        target.push_back(*endpoint);
      } else {
        problems.list.push_back(
            {name, "an IP address and a port, not " + value});
      }
    }
    if (target.empty() && problems.list.empty()) {
      problems.list.push_back({name, "an IP address and a port"});
    }
  });
}

void CommandOptions::Impl::AddPositionalName(const char* name,
                                             int count,
                                             const char* help) {
  positions.add(name, count);
  positional_names += std::string(" ") + name + (count < 0 ? "..." : "");
  positional_help += std::string("  ") + name + "  " + help + "\n";
}

void CommandOptions::AddPositional(const char* name,
                                   std::string& target,
                                   const char* help) {
  m_impl->positionals.add_options()(name, options::value(&target));
  m_impl->AddPositionalName(name, 1, help);
  m_impl->checks.emplace_back([name, &target](Problems& problems) {
    if (target.empty()) {
      problems.list.push_back({name, "a value"});
    }
  });
}

void CommandOptions::AddPositionalList(const char* name,
                                       std::vector<std::string>& target,
                                       const char* help) {
  m_impl->positionals.add_options()(name, options::value(&target));
  m_impl->AddPositionalName(name, -1, help);
  m_impl->checks.emplace_back([name, &target](Problems& problems) {
    if (target.empty()) {
      problems.list.push_back({name, "at least one value"});
    }
  });
}

Result<void> CommandOptions::Parse(const std::vector<std::string>& arguments) {
  options::options_description all;
  all.add(m_impl->named).add(m_impl->positionals);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(arguments)
                       .options(all)
                       .positional(m_impl->positions)
                       .run(),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail("command line", std::string("valid options: ") + error.what());
  }
  Problems problems;
  for (const Impl::Check& check : m_impl->checks) {
    check(problems);
  }
  if (!problems.list.empty()) {
    return boost::leaf::new_error(std::move(problems));
  }
  return {};
}

std::string CommandOptions::Help() const {
  std::ostringstream text;
  text << m_impl->positional_help
       << (m_impl->positional_help.empty() ? "" : "\n") << m_impl->named;
  return text.str();
}

std::string CommandOptions::PositionalNames() const {
  return m_impl->positional_names;
}

}  // namespace bramleyspoke
