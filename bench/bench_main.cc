#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "cases.h"

namespace bramleyspoke::Harness {
namespace {

namespace po = boost::program_options;

// The parsed command line.
struct BenchCommand {
  std::string bench_case;
  BenchOptions options;
};

po::options_description DescribeOptions() {
  po::options_description description("options");
  description.add_options()("case", po::value<std::string>(),
                            "name of the case to run; all if not given")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "seed of the arrivals")("seconds", po::value<int>()->default_value(20),
                              "measurement time of each variant")(
      "rate", po::value<double>()->default_value(1),
      "factor for the request rates")("help", "print this help");
  return description;
}

BenchCommand ReadCommand(const po::variables_map& values, const char* program) {
  BenchCommand command;
  if (values.count("case") > 0) {
    command.bench_case = values["case"].as<std::string>();
  }
  command.options.seed = values["seed"].as<std::uint64_t>();
  command.options.length = std::chrono::seconds(values["seconds"].as<int>());
  command.options.rate = values["rate"].as<double>();
  command.options.programs =
      std::filesystem::canonical(program).parent_path().string();
  return command;
}

// Returns false if the case failed to run or found violations.
bool RunCase(const BenchCase& bench_case, const BenchOptions& options) {
  std::cerr << "== " << bench_case.name << ": " << bench_case.purpose
            << ", seed " << options.seed << std::endl;
  return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(violations, bench_case.run(options));
        return violations == 0;
      },
      [](const Problems& problems) {
        for (const Problem& problem : problems.list) {
          std::cerr << problem.path << ": expected " << problem.expected
                    << std::endl;
        }
        return false;
      },
      [] {
        std::cerr << "unknown failure" << std::endl;
        return false;
      });
}

int Run(const BenchCommand& command) {
  bool is_found = false;
  bool is_clean = true;
  for (const BenchCase& bench_case : BenchCases()) {
    const bool runs_by_default =
        command.bench_case.empty() && !bench_case.is_on_demand;
    if (runs_by_default || command.bench_case == bench_case.name) {
      is_found = true;
      is_clean = RunCase(bench_case, command.options) && is_clean;
    }
  }
  if (!is_found) {
    std::cerr << "unknown case " << command.bench_case << std::endl;
    return 2;
  }
  return is_clean ? 0 : 1;
}

}  // namespace
}  // namespace bramleyspoke::Harness

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using bramleyspoke::Harness::BenchCases;
  try {
    const auto description = bramleyspoke::Harness::DescribeOptions();
    po::positional_options_description positional;
    positional.add("case", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(description)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << "usage: bramleyspoke_bench [CASE] [options]\n"
                << description << "cases:\n";
      for (const auto& bench_case : BenchCases()) {
        std::cout << "  " << bench_case.name << ": " << bench_case.purpose
                  << "\n";
      }
      return 0;
    }
    return bramleyspoke::Harness::Run(
        bramleyspoke::Harness::ReadCommand(values, argv[0]));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
