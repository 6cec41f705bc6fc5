#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "deployment.h"
#include "load.h"
#include "trial.h"

namespace bramleyspoke::Harness {

constexpr std::size_t kKalahariDaemons = 9;
inline constexpr const char* kDesk = "restore-desk-search";
inline constexpr const char* kAuditor = "retention-auditor";
inline constexpr const char* kLookup = "manifest-lookup";
inline constexpr const char* kBilling = "usage-billing";

/// Base load on Kalahari's services, in proportion to their usage.
std::vector<ServiceLoad> MakeBaseLoads();
/// Nine daemons in three regions and nine failure domains.
FleetOptions MakeKalahariFleet();
Result<std::unique_ptr<Trial>> StartKalahari(const std::string& bench_case,
                                             const BenchOptions& options);

/// Manifest published at the start.
Manifest BaseManifest(Trial& trial);
ServiceSpec& FindService(Manifest& manifest, std::string_view name);
/// Address of a replica of a shard, in the format used for leaf faults; empty
/// if there is none.
std::string LeafName(Trial& trial,
                     std::string_view service,
                     std::uint32_t shard,
                     std::uint32_t replica);

}  // namespace bramleyspoke::Harness
