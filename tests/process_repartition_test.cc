#include <doctest/doctest.h>

#include "process_run.h"
#include "repartition.h"

namespace bramleyspoke {

TEST_CASE(
    "a repartition under load keeps snapshots consistent and coverage full") {
  ProcessRun run;
  Manifest manifest = run.BaseManifest();
  ServiceSpec& search = manifest.services[0];
  search.layouts.push_back(Harness::SplitInTwo(search.layouts[0], "b"));
  run.GetHistory().services["search"].layouts["b"] =
      static_cast<std::uint32_t>(search.layouts[1].shards.size());
  const PublishEvent publish = run.Publish(manifest);
  REQUIRE(run.WaitForGeneration(publish.generation));
  run.StartLoad();
  REQUIRE(run.WaitForFullAnswers(50));
  Harness::MoveToLayout(run.GetFleet(), "search", IndexVersion{42, "b"},
                        [&] { CHECK(run.WaitForEnded(20)); });
  REQUIRE(run.WaitForFullAnswers(100));
  CHECK(run.Check() == "");
  CHECK(CountPartialAnswers(run.GetHistory(), "search") == 0);
}

}  // namespace bramleyspoke
