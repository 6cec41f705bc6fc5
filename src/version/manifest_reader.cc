#include "version/manifest_reader.h"

#include <utility>

#include "version/part_fetch.h"

namespace bramleyspoke {
namespace {

// One read: the head, then the parts level by level until the manifest is
// complete.
class ReadOperation : public std::enable_shared_from_this<ReadOperation> {
 public:
  ReadOperation(ConfigStore& store,
                std::optional<std::uint64_t> generation,
                std::function<void(ManifestReadOutcome)> done)
      : m_store(store), m_generation(generation), m_done(std::move(done)) {}

  void Start() {
    m_store.Get(std::string(kHeadKey),
                [self = shared_from_this()](const StoreRead& read) {
                  self->OnHead(read);
                });
  }

 private:
  void OnHead(const StoreRead& read) {
    m_outcome.outcome = read.outcome;
    if (read.outcome != StoreOutcome::kOk) {
      Finish("the store does not respond");
      return;
    }
    const auto head = ParseManifestHead(read.value.value);
    if (!head) {
      Finish(read.value.revision == 0
                 ? "nothing has been published yet"
                 : "the manifest head in the store is malformed");
      return;
    }
    m_outcome.head = *head;
    if (!SelectRoot()) {
      Finish("the generation is not among the last publishes");
      return;
    }
    Continue();
  }

  bool SelectRoot() {
    const ManifestHead& head = m_outcome.head;
    if (!m_generation || *m_generation == head.generation) {
      m_root = head.root;
      return true;
    }
    for (const PublishRecord& record : head.publishes) {
      if (record.generation == *m_generation) {
        m_root = record.root;
        return true;
      }
    }
    return false;
  }

  void Continue() {
    const Assembly assembly = ManifestAssembler().Assemble(m_root, m_parts);
    if (!assembly.problem.empty()) {
      Finish(assembly.problem);
      return;
    }
    if (assembly.manifest) {
      m_outcome.manifest = assembly.manifest->ToManifest();
      Finish("");
      return;
    }
    FetchParts(
        m_store, assembly.missing,
        [self = shared_from_this()](StoreOutcome outcome, PartMap parts) {
          self->OnParts(outcome, std::move(parts));
        });
  }

  void OnParts(StoreOutcome outcome, PartMap parts) {
    m_outcome.outcome = outcome;
    if (outcome != StoreOutcome::kOk) {
      Finish("a part of the manifest could not be read");
      return;
    }
    m_parts.merge(parts);
    Continue();
  }

  void Finish(std::string detail) {
    m_outcome.detail = std::move(detail);
    m_done(std::move(m_outcome));
  }

  ConfigStore& m_store;
  std::optional<std::uint64_t> m_generation;
  std::function<void(ManifestReadOutcome)> m_done;
  std::string m_root;
  PartMap m_parts;
  ManifestReadOutcome m_outcome;
};

}  // namespace

void ManifestReader::Read(ConfigStore& store,
                          std::optional<std::uint64_t> generation,
                          std::function<void(ManifestReadOutcome)> done) {
  std::make_shared<ReadOperation>(store, generation, std::move(done))->Start();
}

}  // namespace bramleyspoke
