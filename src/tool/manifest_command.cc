#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

#include "tool/command.h"
#include "tool/command_options.h"
#include "tool/manifest_file.h"
#include "tool/store_calls.h"
#include "tool/text_table.h"

namespace bramleyspoke {
namespace {

namespace json = boost::json;

std::string ServiceTable(const Manifest& manifest) {
  TextTable table({"service", "class", "idempotent", "shards", "slots",
                   "connections", "holders", "layouts"});
  for (const ServiceSpec& spec : manifest.services) {
    table.Add({spec.name, std::string(ToString(spec.service_class)),
               spec.idempotent ? "yes" : "no",
               std::to_string(spec.layouts.back().shards.size()),
               std::to_string(spec.slots), std::to_string(spec.connections),
               std::to_string(spec.holders),
               std::to_string(spec.layouts.size())});
  }
  return table.Text();
}

class ManifestCommand final : public Command {
 public:
  std::string_view Name() const override { return "manifest"; }
  std::string_view Summary() const override {
    return "shows the manifest in the store, current or by generation";
  }

  void Declare(CommandOptions& options) override {
    options.AddEndpoints("store", m_store.servers,
                         "addresses of the key-value store");
    options.AddNumber("generation", m_generation,
                      "one of the retained generations (default: current)");
    options.AddFlag(
        "source", m_is_source_only,
        "print only the manifest, in the format that publish reads");
    options.AddMilliseconds("timeout-ms", m_store.call_timeout,
                            "timeout of each call to the store (5000)");
  }

  ExitCode Run(CommandOutput& output) override {
    const ManifestReadOutcome read = ReadAndWait(m_store, m_generation);
    if (!read.manifest) {
      output.error << "no manifest: " << read.detail << '\n';
      return ExitCode::kNotDone;
    }
    if (m_is_source_only) {
      output.out << ToJson(*read.manifest) << '\n';
    } else if (output.is_json) {
      PrintJson(read, output);
    } else {
      PrintText(read, output);
    }
    return ExitCode::kDone;
  }

 private:
  std::uint64_t ShownGeneration(const ManifestReadOutcome& read) const {
    return m_generation.value_or(read.head.generation);
  }

  void PrintJson(const ManifestReadOutcome& read, CommandOutput& output) const {
    output.out << json::serialize(json::object{
                      {"generation", ShownGeneration(read)},
                      {"current_generation", read.head.generation},
                      {"manifest", json::parse(ToJson(*read.manifest))}})
               << '\n';
  }

  void PrintText(const ManifestReadOutcome& read, CommandOutput& output) const {
    output.out << "generation " << ShownGeneration(read) << " (current "
               << read.head.generation
               << "): " << ToString(SizeOf(*read.manifest)) << "\n\n"
               << ServiceTable(*read.manifest);
    for (const Endpoint& leaf : read.manifest->leaving) {
      output.out << "leaving: " << ToString(leaf) << '\n';
    }
  }

  StoreTarget m_store;
  std::optional<std::uint64_t> m_generation;
  bool m_is_source_only = false;
};

}  // namespace

std::unique_ptr<Command> MakeManifestCommand() {
  return std::make_unique<ManifestCommand>();
}

}  // namespace bramleyspoke
