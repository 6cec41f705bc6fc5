#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ostream>
#include <random>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/manifest_file.h"
#include "tool/store_calls.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

std::string MakePublishId() {
  std::random_device device;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return text.data();
}

ExitCode ExitCodeOf(PublishResult result) {
  switch (result) {
    case PublishResult::kAccepted:
      return ExitCode::kDone;
    case PublishResult::kConflict:
      return ExitCode::kConflict;
    case PublishResult::kNotPublished:
      return ExitCode::kNotDone;
    case PublishResult::kUnknown:
      break;
  }
  return ExitCode::kUnknown;
}

class PublishCommand final : public Command {
 public:
  std::string_view Name() const override { return "publish"; }
  std::string_view Summary() const override {
    return "validates a manifest and publishes it to the store";
  }

  void Declare(CommandOptions& options) override {
    options.AddPositional("FILE", m_file,
                          "manifest file; - for standard input");
    options.AddEndpoints("store", m_store.servers,
                         "addresses of the key-value store");
    options.AddNumber("expect-generation", m_publish.expected_generation,
                      "generation that must be current for the manifest to "
                      "replace it (default: any)");
    options.AddText("publish-id", m_publish.publish_id,
                    "id of an earlier publish with an unknown outcome: the "
                    "manifest is not published twice");
    options.AddMilliseconds("timeout-ms", m_store.call_timeout,
                            "timeout of each call to the store (5000)");
  }

  ExitCode Run(CommandOutput& output) override {
    const auto manifest = ReadManifestFile(m_file, output);
    if (!manifest) {
      return ExitCode::kInvalidInput;
    }
    if (m_publish.publish_id.empty()) {
      m_publish.publish_id = MakePublishId();
    }
    const PublishOutcome outcome =
        PublishAndWait(m_store, *manifest, m_publish);
    Print(outcome, output);
    return ExitCodeOf(outcome.result);
  }

 private:
  void Print(const PublishOutcome& outcome, CommandOutput& output) const {
    if (output.is_json) {
      output.out << json::serialize(json::object{
                        {"result", ToString(outcome.result)},
                        {"publish_id", m_publish.publish_id},
                        {"generation", outcome.generation},
                        {"current_generation", outcome.current_generation},
                        {"detail", outcome.detail}})
                 << '\n';
      return;
    }
    output.out << ToString(outcome.result);
    if (outcome.result == PublishResult::kAccepted) {
      output.out << ": generation " << outcome.generation << '\n';
      return;
    }
    if (outcome.result == PublishResult::kConflict) {
      output.out << ": meant to be generation " << outcome.generation
                 << ", the store has generation " << outcome.current_generation;
    }
    output.out << (outcome.detail.empty() ? "" : ": ") << outcome.detail
               << "\npublish id: " << m_publish.publish_id << '\n';
  }

  std::string m_file;
  StoreTarget m_store;
  PublishOptions m_publish;
};

}  // namespace

std::unique_ptr<Command> MakePublishCommand() {
  return std::make_unique<PublishCommand>();
}

}  // namespace bramleyspoke
