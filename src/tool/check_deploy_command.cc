#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>

#include "platform/deploy_file.h"
#include "tool/command.h"
#include "tool/command_options.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

constexpr const char* kDeployFile = "deploy/system.toml";
constexpr const char* kFieldsFile = "examples/platform-fields.json";

class CheckDeployCommand final : public Command {
 public:
  std::string_view Name() const override { return "check-deploy"; }
  std::string_view Summary() const override {
    return "validates the deploy file and the settings that its templates "
           "produce";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("DIRECTORY", m_directory,
                          "root directory of the repository");
    options.AddText("fields", m_fields,
                    "JSON file with the platform's values for the templates "
                    "(examples/platform-fields.json)");
  }

  ExitCode Run(CommandOutput& output) override {
    const std::filesystem::path root(m_directory);
    const auto deploy = Read(root / kDeployFile);
    const auto fields =
        Read(m_fields.empty() ? root / kFieldsFile
                              : std::filesystem::path(m_fields));
    json::error_code error;
    const json::value platform_fields =
        fields ? json::parse(*fields, error) : json::value();
    if (!deploy || !fields || error) {
      output.error << (deploy ? "fields: expected JSON in a readable file\n"
                              : "deploy file: expected a readable file\n");
      return ExitCode::kInvalidInput;
    }
    const Problems problems =
        Platform::CheckDeployFile(*deploy, root, platform_fields);
    if (output.is_json) {
      output.out << json::serialize(
                        json::object{{"valid", problems.list.empty()},
                                     {"faults", ToString(problems)}})
                 << '\n';
    } else if (problems.list.empty()) {
      output.out << "valid\n";
    } else {
      output.error << ToString(problems);
    }
    return problems.list.empty() ? ExitCode::kDone : ExitCode::kInvalidInput;
  }

 private:
  static std::optional<std::string> Read(const std::filesystem::path& file) {
    std::ifstream stream(file);
    if (!stream) {
      return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
  }

  std::string m_directory;
  std::string m_fields;
};

}  // namespace

std::unique_ptr<Command> MakeCheckDeployCommand() {
  return std::make_unique<CheckDeployCommand>();
}

}  // namespace bramleyspoke
