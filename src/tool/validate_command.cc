#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/manifest_file.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

class ValidateCommand final : public Command {
 public:
  std::string_view Name() const override { return "validate"; }
  std::string_view Summary() const override {
    return "validates a manifest and lists every problem";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("FILE", m_file,
                          "manifest file; - for standard input");
  }

  ExitCode Run(CommandOutput& output) override {
    const auto manifest = ReadManifestFile(m_file, output);
    if (!manifest) {
      return ExitCode::kInvalidInput;
    }
    const ManifestSize size = SizeOf(*manifest);
    if (output.is_json) {
      output.out << json::serialize(json::object{{"valid", true},
                                                 {"services", size.services},
                                                 {"shards", size.shards},
                                                 {"leafs", size.leafs}})
                 << '\n';
    } else {
      output.out << "valid: " << ToString(size) << '\n';
    }
    return ExitCode::kDone;
  }

 private:
  std::string m_file;
};

}  // namespace

std::unique_ptr<Command> MakeValidateCommand() {
  return std::make_unique<ValidateCommand>();
}

}  // namespace bramleyspoke
