#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"

namespace bramleyspoke {

/// Options and positional arguments of one command. Their values are stored in
/// target variables.
///
/// Targets must outlive the object. The target of an option that is not given
/// keeps its value.
class CommandOptions {
 public:
  CommandOptions();
  ~CommandOptions();
  CommandOptions(const CommandOptions&) = delete;
  CommandOptions& operator=(const CommandOptions&) = delete;

  void AddFlag(const char* name, bool& target, const char* help);
  void AddText(const char* name, std::string& target, const char* help);
  void AddNumber(const char* name,
                 std::optional<std::uint64_t>& target,
                 const char* help);
  /// A number from 0 to 1.
  void AddRatio(const char* name, double& target, const char* help);
  void AddMilliseconds(const char* name, Duration& target, const char* help);
  /// A required option with one or more addresses, comma-separated or repeated.
  void AddEndpoints(const char* name,
                    std::vector<Endpoint>& target,
                    const char* help);
  /// A required positional argument.
  void AddPositional(const char* name, std::string& target, const char* help);

  /// One or more positional arguments; declared after all other positional
  /// ones.
  void AddPositionalList(const char* name,
                         std::vector<std::string>& target,
                         const char* help);

  /// Parses the arguments after the command's name. A syntax error is reported
  /// alone, without the problems of other options.
  Result<void> Parse(const std::vector<std::string>& arguments);
  /// Description of arguments and options for `--help`.
  std::string Help() const;
  /// Names of the positional arguments, such as " ID FILE...".
  std::string PositionalNames() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleyspoke
