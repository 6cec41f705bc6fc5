#include "tool/tool.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include "base/problems.h"
#include "tool/command.h"
#include "tool/command_options.h"

namespace bramleyspoke {
namespace {

constexpr int kNameWidth = 14;

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-h" || argument == "help";
}

void PrintExitCodes(std::ostream& out) {
  out << "\nExit codes:\n";
  for (const ExitCodeText& row : kExitCodeTexts) {
    out << "  " << static_cast<int>(row.code) << "  " << row.text << '\n';
  }
}

void PrintUsage(std::ostream& out) {
  out << "Usage: bramleyspoke COMMAND [--help] ...\n\nCommands:\n";
  for (const auto& command : MakeAllCommands()) {
    out << "  " << std::left << std::setw(kNameWidth) << command->Name()
        << command->Summary() << '\n';
  }
  PrintExitCodes(out);
}

void PrintHelp(const Command& command,
               const CommandOptions& options,
               std::ostream& out) {
  out << "Usage: bramleyspoke " << command.Name() << options.PositionalNames()
      << " [options]\n"
      << command.Summary() << ".\n\n"
      << options.Help();
  PrintExitCodes(out);
}

ExitCode RunCommand(Command& command,
                    const std::vector<std::string>& arguments,
                    std::ostream& out,
                    std::ostream& error) {
  CommandOptions options;
  CommandOutput output{out, error};
  bool is_help = false;
  command.Declare(options);
  options.AddFlag("json", output.is_json, "print JSON");
  options.AddFlag("help", is_help, "print this help and exit");
  if (std::any_of(arguments.begin(), arguments.end(), IsHelp)) {
    PrintHelp(command, options, out);
    return ExitCode::kDone;
  }
  const auto parsed = Check([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(options.Parse(arguments));
    return true;
  });
  if (!parsed.value) {
    error << ToString(parsed.problems);
    return ExitCode::kUsage;
  }
  return command.Run(output);
}

}  // namespace

std::vector<std::unique_ptr<Command>> MakeAllCommands() {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(MakeValidateCommand());
  commands.push_back(MakePublishCommand());
  commands.push_back(MakeManifestCommand());
  commands.push_back(MakeStatusCommand());
  commands.push_back(MakeDumpCommand());
  commands.push_back(MakeEntriesCommand());
  commands.push_back(MakeSearchCommand());
  commands.push_back(MakeDrainCommand());
  commands.push_back(MakeExplainCommand());
  commands.push_back(MakeCheckDeployCommand());
  return commands;
}

int RunTool(const std::vector<std::string>& arguments,
            std::ostream& out,
            std::ostream& error) {
  if (arguments.empty()) {
    PrintUsage(error);
    return static_cast<int>(ExitCode::kUsage);
  }
  if (IsHelp(arguments.front())) {
    PrintUsage(out);
    return static_cast<int>(ExitCode::kDone);
  }
  for (const auto& command : MakeAllCommands()) {
    if (command->Name() == arguments.front()) {
      const std::vector<std::string> rest(arguments.begin() + 1,
                                          arguments.end());
      return static_cast<int>(RunCommand(*command, rest, out, error));
    }
  }
  error << "no such command: " << arguments.front() << '\n';
  PrintUsage(error);
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace bramleyspoke
