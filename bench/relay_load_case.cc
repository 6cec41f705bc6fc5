#include "relay_load_case.h"

#include <cstdio>
#include <string>

#include "load_patterns.h"
#include "report.h"
#include "shard_bound.h"

namespace bramleyspoke::Harness {
namespace {

constexpr std::uint64_t kSeeds = 4;

// Figures of a pattern over all seeds, in the time of its faults.
struct PatternFigures {
  LoadFigures requests;
  LeafFigures leafs;
  double best_credit = 0;
};

double Share(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void Add(LeafFigures& sum, const LeafFigures& other) {
  sum.arrivals += other.arrivals;
  sum.refused += other.refused;
  sum.repeats += other.repeats;
}

PatternFigures Play(RelayLoad load, std::uint64_t first_seed) {
  PatternFigures figures;
  for (std::uint64_t seed = first_seed; seed < first_seed + kSeeds; ++seed) {
    load.seed = seed;
    const RelayLoadReport report = Replay(load);
    figures.requests.Add(report.Between(kPatternBegin, kPatternEnd));
    Add(figures.leafs, report.faulty_leafs);
    Add(figures.leafs, report.sound_leafs);
    figures.best_credit +=
        BestMeanCredit(load, kPatternBegin, kPatternEnd) / kSeeds;
  }
  return figures;
}

void Print(const RunLabel& label, const PatternFigures& figures) {
  const LoadFigures& requests = figures.requests;
  const auto asked = requests.asked;
  PrintFigure(label, "credit", requests.MeanCredit());
  PrintFigure(label, "best credit", figures.best_credit);
  PrintFigure(label, "in time", Share(requests.in_time, asked));
  PrintFigure(label, "complete", Share(requests.complete, asked));
  PrintFigure(label, "late", Share(requests.late, asked));
  PrintFigure(label, "refused", Share(requests.refused, asked));
  PrintFigure(label, "failed", Share(requests.failed, asked));
  PrintFigure(
      label, "longest wait in vain, s",
      std::chrono::duration<double>(requests.longest_wait_in_vain).count());
  PrintFigure(label, "repeats per arrival",
              Share(figures.leafs.repeats, figures.leafs.arrivals));
  PrintFigure(label, "refused by leafs per arrival",
              Share(figures.leafs.refused, figures.leafs.arrivals));
}

}  // namespace

Result<std::size_t> RunRelayLoad(const BenchOptions& options) {
  for (const LoadPattern& pattern : LoadPatterns()) {
    const RunLabel label{"relay_load", std::string(pattern.name), options.seed};
    Print(label, Play(pattern.load, options.seed));
  }
  return 0;
}

}  // namespace bramleyspoke::Harness
