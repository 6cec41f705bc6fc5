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

/// Store key of the head.
inline constexpr std::string_view kHeadKey = "bramleyspoke/head";
/// Store key of the part with that hash.
std::string PartKey(std::string_view hash);
/// Hash that names a part: xxhash128 of its content, 32 hex digits.
std::string PartHash(std::string_view content);

/// One accepted publish.
struct PublishRecord {
  std::string id;
  std::uint64_t generation = 0;
  std::string root;

  bool operator==(const PublishRecord&) const = default;
};

/// The one mutable value: which manifest is in force.
struct ManifestHead {
  /// 0: nothing was published yet.
  std::uint64_t generation = 0;
  std::string root;
  /// The last publishes, newest last; bounded.
  std::vector<PublishRecord> publishes;

  bool operator==(const ManifestHead&) const = default;

  /// The publish with that id, if it is among the last.
  const PublishRecord* Find(std::string_view publish_id) const;
  /// The head after one more publish.
  ManifestHead Next(std::string publish_id, std::string new_root) const;
};

std::string ToJson(const ManifestHead& head);
/// Empty when malformed.
std::optional<ManifestHead> ParseManifestHead(std::string_view json);

/// Content of parts by hash.
using PartMap =
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>>;

/// A manifest as content-addressed parts, so that a change travels as the
/// changed parts only.
///
/// A tree of three levels: the root lists group parts and the part with
/// callers and leaving leafs; a group lists its services' parts. A change of
/// one service makes three new parts, whatever the number of services.
struct ManifestParts {
  std::string root;
  PartMap parts;
};

ManifestParts SplitManifest(const Manifest& manifest);

/// Hashes that a root or group part refers to; empty when malformed.
std::optional<std::vector<std::string>> ParsePartList(std::string_view content);

/// Parsed parts of a manifest, kept by hash so that unchanged ones are shared.
using SpecMap =
    std::map<std::string, std::shared_ptr<const ServiceSpec>, std::less<>>;

/// A manifest put together from its parts.
struct AssembledManifest {
  /// By service name.
  SpecMap services;
  std::vector<CallerSpec> callers;
  std::vector<Endpoint> leaving;

  Manifest ToManifest() const;
};

/// What putting together came to: a manifest, parts still wanted, or a fault.
struct Assembly {
  std::shared_ptr<const AssembledManifest> manifest;
  /// Hashes of the parts that are missing, as far as known yet.
  std::vector<std::string> missing;
  /// Why the manifest can't be used; empty if it can.
  std::string problem;
};

/// Puts manifests together; remembers parsed parts of the last one.
class ManifestAssembler {
 public:
  Assembly Assemble(const std::string& root, const PartMap& parts);
  /// Hashes of all parts of the last manifest that was whole.
  const std::vector<std::string>& LastHashes() const { return m_hashes; }

 private:
  /// Parsed service parts of the last whole manifest, by hash.
  SpecMap m_parsed;
  std::vector<std::string> m_hashes;
};

}  // namespace bramleyspoke
