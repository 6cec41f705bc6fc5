#include "version/part_fetch.h"

#include <deque>
#include <memory>
#include <utility>

namespace bramleyspoke {
namespace {

constexpr int kMaxReadsAtOnce = 8;

// One call of `FetchParts`.
class PartFetch : public std::enable_shared_from_this<PartFetch> {
 public:
  PartFetch(ConfigStore& store,
            const std::vector<std::string>& hashes,
            PartsDone done)
      : m_store(store),
        m_waiting(hashes.begin(), hashes.end()),
        m_done(std::move(done)) {}

  void Run() {
    while (!m_is_done && m_running < kMaxReadsAtOnce && !m_waiting.empty()) {
      FetchNext();
    }
    if (!m_is_done && m_running == 0 && m_waiting.empty()) {
      Finish(StoreOutcome::kOk);
    }
  }

 private:
  void FetchNext() {
    const std::string hash = m_waiting.front();
    m_waiting.pop_front();
    ++m_running;
    m_store.Get(PartKey(hash),
                [self = shared_from_this(), hash](const StoreRead& read) {
                  --self->m_running;
                  self->OnRead(hash, read);
                });
  }

  void OnRead(const std::string& hash, const StoreRead& read) {
    if (m_is_done) {
      return;
    }
    const bool is_good =
        read.outcome == StoreOutcome::kOk && PartHash(read.value.value) == hash;
    if (!is_good) {
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
  std::deque<std::string> m_waiting;
  PartsDone m_done;
  PartMap m_parts;
  int m_running = 0;
  bool m_is_done = false;
};

}  // namespace

void FetchParts(ConfigStore& store,
                const std::vector<std::string>& hashes,
                PartsDone done) {
  std::make_shared<PartFetch>(store, hashes, std::move(done))->Run();
}

}  // namespace bramleyspoke
