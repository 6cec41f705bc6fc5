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

/// Options of one command: declared once, then parsed into the targets.
///
/// Targets must outlive the object and keep their defaults if not given.
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
  void AddShare(const char* name, double& target, const char* help);
  void AddMilliseconds(const char* name, Duration& target, const char* help);
  /// One address or more, comma-separated or repeated.
  void AddEndpoints(const char* name,
                    std::vector<Endpoint>& target,
                    const char* help);
  /// A word without an option's name; required.
  void AddWord(const char* name, std::string& target, const char* help);

  /// One word or more at the end of the command line.
  void AddWords(const char* name,
                std::vector<std::string>& target,
                const char* help);

  /// Parses the words after the command's name; every fault is reported.
  Result<void> Parse(const std::vector<std::string>& words);
  /// Words and options, as `--help` shows them.
  std::string Help() const;
  /// The required words, such as "FILE".
  std::string Words() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleyspoke
