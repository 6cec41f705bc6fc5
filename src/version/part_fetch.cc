#include "version/part_fetch.h"

#include <deque>
#include <memory>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr int kMaxConcurrentReads = 8;

// One call of `FetchParts`.
class PartFetch : public std::enable_shared_from_this<PartFetch> {
 public:
  PartFetch(ConfigStore& store,
            const std::vector<std::string>& hashes,
            PartsCallback done)
      : m_store(store),
        m_pending(hashes.begin(), hashes.end()),
        m_done(std::move(done)) {}

  void Run() {
    while (!m_is_done && m_reads_in_flight < kMaxConcurrentReads &&
           !m_pending.empty()) {
      FetchNext();
    }
    if (!m_is_done && m_reads_in_flight == 0 && m_pending.empty()) {
      Finish(StoreOutcome::kOk);
    }
  }

 private:
  void FetchNext() {
    const std::string hash = m_pending.front();
    m_pending.pop_front();
    ++m_reads_in_flight;
    m_store.Get(PartKey(hash),
                [self = shared_from_this(), hash](const StoreRead& read) {
                  --self->m_reads_in_flight;
                  self->OnRead(hash, read);
                });
  }

  void OnRead(const std::string& hash, const StoreRead& read) {
    if (m_is_done) {
      return;
    }
    const bool is_valid =
        read.outcome == StoreOutcome::kOk && PartHash(read.value.value) == hash;
    if (!is_valid) {
      Finish(read.outcome == StoreOutcome::kOk ? StoreOutcome::kConflict
                                               : read.outcome);
      return;
    }
    m_parts.emplace(hash,
                    std::make_shared<const std::string>(read.value.value));
    Run();
  }

  void Finish(StoreOutcome outcome) {
    m_is_done = true;
    m_done(outcome, std::move(m_parts));
  }

  ConfigStore& m_store;
  std::deque<std::string> m_pending;
  PartsCallback m_done;
  PartMap m_parts;
  int m_reads_in_flight = 0;
  bool m_is_done = false;
};

}  // namespace

void FetchParts(ConfigStore& store,
                const std::vector<std::string>& hashes,
                PartsCallback done) {
  std::make_shared<PartFetch>(store, hashes, std::move(done))->Run();
}

}  // namespace bramleyspoke
