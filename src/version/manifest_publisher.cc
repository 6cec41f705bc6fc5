#include "version/manifest_publisher.h"

#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "version/part_fetch.h"

namespace bramleyspoke {
namespace {

constexpr int kMaxConcurrentWrites = 8;
constexpr int kMaxRetries = 4;

constexpr EnumNames<PublishResult, 4> kResultNames{{{
    {PublishResult::kAccepted, "accepted"},
    {PublishResult::kConflict, "conflict"},
    {PublishResult::kNotPublished, "not_published"},
    {PublishResult::kUnknown, "unknown"},
}}};

// One publish, from reading the head to the outcome.
class PublishOperation : public std::enable_shared_from_this<PublishOperation> {
 public:
  PublishOperation(ConfigStore& store,
                   ManifestParts parts,
                   PublishOptions options,
                   std::function<void(PublishOutcome)> done)
      : m_store(store),
        m_new_parts(std::move(parts)),
        m_options(std::move(options)),
        m_done(std::move(done)) {}

  void Start() {
    m_store.Get(std::string(kHeadKey),
                [self = shared_from_this()](const StoreRead& read) {
                  self->OnInitialHead(read);
                });
  }

 private:
  void OnInitialHead(const StoreRead& read) {
    if (read.outcome != StoreOutcome::kOk) {
      Finish(PublishResult::kNotPublished, "the store does not respond");
      return;
    }
    if (!ParseHead(read.value)) {
      Finish(PublishResult::kNotPublished,
             "the manifest head in the store is malformed");
      return;
    }
    if (const PublishRecord* record = m_head.Find(m_options.publish_id)) {
      FinishAccepted(record->generation, "already published under this id");
      return;
    }
    const auto expected = m_options.expected_generation;
    if (expected && *expected != m_head.generation) {
      m_intended_generation = *expected + 1;
      FinishConflict(m_head.generation);
      return;
    }
    m_intended_generation = m_head.generation + 1;
    ReadCurrentRoot();
  }

  // Starts to determine the parts of the current manifest. These are already in
  // the store and are not written again, so that a change of one service writes
  // three parts rather than one for each service.
  void ReadCurrentRoot() {
    if (m_head.generation == 0 || m_new_parts.parts.contains(m_head.root)) {
      WriteParts();
      return;
    }
    FetchParts(m_store, {m_head.root},
               [self = shared_from_this()](StoreOutcome, const PartMap& parts) {
                 self->ReadCurrentGroups(self->AddListedHashes(parts));
               });
  }

  void ReadCurrentGroups(const std::vector<std::string>& listed) {
    std::vector<std::string> changed;
    for (const std::string& hash : listed) {
      if (!m_new_parts.parts.contains(hash)) {
        changed.push_back(hash);
      }
    }
    AddUnchangedGroups();
    FetchParts(m_store, changed,
               [self = shared_from_this()](StoreOutcome, const PartMap& parts) {
                 self->AddListedHashes(parts);
                 self->WriteParts();
               });
  }

  std::vector<std::string> AddListedHashes(const PartMap& parts) {
    std::vector<std::string> listed;
    for (const auto& [hash, content] : parts) {
      const auto list = ParsePartList(*content);
      if (list) {
        listed.insert(listed.end(), list->begin(), list->end());
      }
    }
    m_stored_hashes.insert(listed.begin(), listed.end());
    return listed;
  }

  // If a group is already in the store, so are the services that it lists.
  void AddUnchangedGroups() {
    const std::set<std::string> stored = m_stored_hashes;
    for (const std::string& hash : stored) {
      const auto part = m_new_parts.parts.find(hash);
      if (part == m_new_parts.parts.end()) {
        continue;
      }
      if (const auto list = ParsePartList(*part->second)) {
        m_stored_hashes.insert(list->begin(), list->end());
      }
    }
  }

  void WriteParts() {
    for (const auto& [hash, content] : m_new_parts.parts) {
      if (!m_stored_hashes.contains(hash)) {
        m_to_write.push_back(hash);
      }
    }
    WriteMore();
  }

  void WriteMore() {
    while (!m_is_done && m_writes_in_flight < kMaxConcurrentWrites &&
           !m_to_write.empty()) {
      const std::string hash = m_to_write.front();
      m_to_write.pop_front();
      ++m_writes_in_flight;
      WritePart(hash, 0);
    }
    if (!m_is_done && m_writes_in_flight == 0 && m_to_write.empty()) {
      SwapHead();
    }
  }

  // Creates the part. A conflict then means that the store already has the
  // part, as its key is the hash of its content.
  void WritePart(const std::string& hash, int retries) {
    m_store.CompareAndSwap(
        PartKey(hash), 0, *m_new_parts.parts.at(hash),
        [self = shared_from_this(), hash, retries](const StoreWrite& write) {
          self->OnPartWritten(hash, retries, write.outcome);
        });
  }

  void OnPartWritten(const std::string& hash,
                     int retries,
                     StoreOutcome outcome) {
    if (m_is_done) {
      return;
    }
    if (outcome == StoreOutcome::kUnknown && retries < kMaxRetries) {
      WritePart(hash, retries + 1);
      return;
    }
    if (outcome != StoreOutcome::kOk && outcome != StoreOutcome::kConflict) {
      Finish(PublishResult::kNotPublished,
             "the store became unavailable before the head was written");
      return;
    }
    --m_writes_in_flight;
    WriteMore();
  }

  void SwapHead() {
    if (m_is_swap_started) {
      return;
    }
    m_is_swap_started = true;
    m_new_head = ToJson(m_head.Next(m_options.publish_id, m_new_parts.root));
    TrySwap();
  }

  void TrySwap() {
    m_store.CompareAndSwap(
        std::string(kHeadKey), m_revision, m_new_head,
        [self = shared_from_this()](const StoreWrite& write) {
          self->OnSwapped(write.outcome);
        });
  }

  // If the store does not confirm or reject the swap, the same swap is sent
  // again. All copies compare with the same revision, so at most one takes
  // effect. Once `kAccepted` or `kConflict` has been reported, a copy still in
  // flight cannot take effect.
  void OnSwapped(StoreOutcome outcome) {
    switch (outcome) {
      case StoreOutcome::kOk:
        FinishAccepted(m_intended_generation, "");
        return;
      case StoreOutcome::kConflict:
        ReadHeadAfterConflict();
        return;
      case StoreOutcome::kUnknown:
        m_may_have_swapped = true;
        break;
      case StoreOutcome::kUnavailable:
        break;
    }
    if (++m_swap_attempts <= kMaxRetries) {
      TrySwap();
      return;
    }
    FinishWithoutResponse();
  }

  void ReadHeadAfterConflict() {
    m_store.Get(std::string(kHeadKey),
                [self = shared_from_this()](const StoreRead& read) {
                  self->OnHeadAfterConflict(read);
                });
  }

  void OnHeadAfterConflict(const StoreRead& read) {
    if (read.outcome != StoreOutcome::kOk || !ParseHead(read.value)) {
      if (++m_head_reads <= kMaxRetries) {
        ReadHeadAfterConflict();
      } else if (m_may_have_swapped) {
        FinishWithoutResponse();
      } else {
        FinishConflict(0);
      }
      return;
    }
    if (const PublishRecord* record = m_head.Find(m_options.publish_id)) {
      FinishAccepted(record->generation, "");
      return;
    }
    const bool is_record_evicted =
        m_head.publishes.empty() ||
        m_head.publishes.front().generation > m_intended_generation;
    if (m_may_have_swapped && is_record_evicted) {
      FinishWithoutResponse();
      return;
    }
    FinishConflict(m_head.generation);
  }

  bool ParseHead(const StoreValue& value) {
    m_revision = value.revision;
    if (value.revision == 0) {
      m_head = ManifestHead();
      return true;
    }
    const auto head = ParseManifestHead(value.value);
    if (!head) {
      return false;
    }
    m_head = *head;
    return true;
  }

  void FinishAccepted(std::uint64_t generation, std::string detail) {
    m_intended_generation = generation;
    Finish(PublishResult::kAccepted, std::move(detail));
  }

  void FinishConflict(std::uint64_t current) {
    m_current_generation = current;
    Finish(PublishResult::kConflict, "another publish came first");
  }

  void FinishWithoutResponse() {
    if (!m_may_have_swapped) {
      Finish(PublishResult::kNotPublished,
             "the store became unavailable before the head was written");
      return;
    }
    Finish(PublishResult::kUnknown,
           "no response from the store: once it is available, publish again "
           "with publish id " +
               m_options.publish_id +
               " (it takes effect at most once), or look for the id in the "
               "head's list of publishes");
  }

  void Finish(PublishResult result, std::string detail) {
    m_is_done = true;
    m_done({result, m_intended_generation, m_current_generation,
            std::move(detail)});
  }

  ConfigStore& m_store;
  ManifestParts m_new_parts;
  PublishOptions m_options;
  std::function<void(PublishOutcome)> m_done;
  ManifestHead m_head;
  std::int64_t m_revision = 0;
  std::uint64_t m_intended_generation = 0;
  std::uint64_t m_current_generation = 0;
  std::set<std::string> m_stored_hashes;
  std::deque<std::string> m_to_write;
  std::string m_new_head;
  int m_writes_in_flight = 0;
  int m_swap_attempts = 0;
  int m_head_reads = 0;
  bool m_is_swap_started = false;
  bool m_may_have_swapped = false;
  bool m_is_done = false;
};

}  // namespace

std::string_view ToString(PublishResult result) {
  return kResultNames.NameOf(result);
}

void ManifestPublisher::Publish(ConfigStore& store,
                                const Manifest& manifest,
                                PublishOptions options,
                                std::function<void(PublishOutcome)> done) {
  std::make_shared<PublishOperation>(store, SplitManifest(manifest),
                                     std::move(options), std::move(done))
      ->Start();
}

}  // namespace bramleyspoke
