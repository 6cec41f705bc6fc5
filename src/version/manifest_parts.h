#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "version/manifest.h"

namespace bramleyspoke {

/// Store key of the manifest head.
inline constexpr std::string_view kHeadKey = "bramleyspoke/head";
/// Store key of the part with the given hash.
std::string PartKey(std::string_view hash);
/// Hash that identifies a part: XXH3 128-bit of its content, 32 hex digits.
std::string PartHash(std::string_view content);

/// One accepted publish.
struct PublishRecord {
  std::string id;
  std::uint64_t generation = 0;
  std::string root;

  bool operator==(const PublishRecord&) const = default;
};

/// Identifies the current manifest. Of a manifest's values in the store, only
/// the head is overwritten.
struct ManifestHead {
  /// 0 if nothing has been published yet.
  std::uint64_t generation = 0;
  std::string root;
  /// The most recent publishes, newest last; limited in number.
  std::vector<PublishRecord> publishes;

  bool operator==(const ManifestHead&) const = default;

  /// The publish with the given id; null if it is not in `publishes`.
  const PublishRecord* Find(std::string_view publish_id) const;
  /// The head after one more publish.
  ManifestHead Next(std::string publish_id, std::string new_root) const;
};

std::string ToJson(const ManifestHead& head);
/// Empty when malformed.
std::optional<ManifestHead> ParseManifestHead(std::string_view json);

/// Contents of parts by hash.
using PartMap =
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>>;

/// A manifest split into content-addressed parts, so that only changed parts
/// are transferred.
///
/// The parts form a tree of three levels: the root lists the group parts and
/// the limits part (callers and draining leafs); a group lists the parts of its
/// services. A change of one service yields three new parts, whatever the
/// number of services.
struct ManifestParts {
  std::string root;
  PartMap parts;
};

ManifestParts SplitManifest(const Manifest& manifest);

/// Hashes to which a root or group part refers; empty when malformed.
std::optional<std::vector<std::string>> ParsePartList(std::string_view content);

/// Parsed service parts, keyed by service name or by part hash. Manifests share
/// the unchanged ones.
using SpecMap =
    std::map<std::string, std::shared_ptr<const ServiceSpec>, std::less<>>;

/// A manifest assembled from its parts.
struct AssembledManifest {
  /// By service name.
  SpecMap services;
  std::vector<CallerSpec> callers;
  std::vector<Endpoint> leaving;

  Manifest ToManifest() const;
};

/// Result of an assembly: a manifest, missing parts, or an error.
struct Assembly {
  std::shared_ptr<const AssembledManifest> manifest;
  /// Hashes of the missing parts found so far; parts to which a missing one
  /// refers are not yet known.
  std::vector<std::string> missing;
  /// Reason why the manifest cannot be used; empty if there is none.
  std::string problem;
};

/// Assembles manifests; reuses the service parts that were parsed for the last
/// complete manifest.
class ManifestAssembler {
 public:
  Assembly Assemble(const std::string& root, const PartMap& parts);
  /// Hashes of all parts of the last complete manifest.
  const std::vector<std::string>& LastHashes() const { return m_hashes; }

 private:
  /// Parsed service parts of the last complete manifest, by hash.
  SpecMap m_parsed;
  std::vector<std::string> m_hashes;
};

}  // namespace bramleyspoke
