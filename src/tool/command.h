#pragma once

#include <iosfwd>
#include <memory>
#include <string_view>
#include <vector>

#include "tool/exit_code.h"

namespace bramleyspoke {

class CommandOptions;

/// Output streams of a command, and the output format.
struct CommandOutput {
  std::ostream& out;
  std::ostream& error;
  /// Print JSON instead of text.
  bool is_json = false;
};

/// A subcommand of the tool.
class Command {
 public:
  virtual ~Command() = default;
  virtual std::string_view Name() const = 0;
  /// One-line description, without a final period.
  virtual std::string_view Summary() const = 0;
  /// Declares the options; parsing stores their values in the command.
  virtual void Declare(CommandOptions& options) = 0;
  virtual ExitCode Run(CommandOutput& output) = 0;
};

std::unique_ptr<Command> MakeValidateCommand();
std::unique_ptr<Command> MakePublishCommand();
std::unique_ptr<Command> MakeManifestCommand();
std::unique_ptr<Command> MakeStatusCommand();
std::unique_ptr<Command> MakeDumpCommand();
std::unique_ptr<Command> MakeEntriesCommand();
std::unique_ptr<Command> MakeSearchCommand();
std::unique_ptr<Command> MakeDrainCommand();
std::unique_ptr<Command> MakeExplainCommand();
std::unique_ptr<Command> MakeCheckDeployCommand();

/// All commands, in the order in which the help lists them.
std::vector<std::unique_ptr<Command>> MakeAllCommands();

}  // namespace bramleyspoke
