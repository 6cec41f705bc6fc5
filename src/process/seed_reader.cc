#include "process/seed_reader.h"

#include <optional>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"

namespace bramleyspoke {
namespace {

class PeerSeedReader final : public SeedReader {
 public:
  PeerSeedReader(EventLoop& loop,
                 PeerNetwork& peers,
                 std::vector<Endpoint> seeds)
      : m_loop(loop),
        m_peers(peers),
        m_seeds(std::move(seeds)),
        m_self(std::make_shared<PeerSeedReader*>(this)) {}

  void Start(std::function<void(const StoreKnowledge&)> done) override {
    m_done = std::move(done);
    if (!m_seeds.empty()) {
      ScheduleQuery(kStoreGracePeriod);
    }
  }

  void Postpone(Duration delay) override {
    if (m_timer) {
      ScheduleQuery(delay + kStoreGracePeriod);
    }
  }

  void Stop() override {
    m_timer.reset();
    m_self.reset();
  }

 private:
  void ScheduleQuery(Duration delay) {
    m_timer = m_loop.At(std::chrono::steady_clock::now() + delay,
                        [this] { QueryNextSeed(); });
  }

  // The reply arrives on the peers' thread.
  void QueryNextSeed() {
    const Endpoint seed = m_seeds[m_next % m_seeds.size()];
    ++m_next;
    m_peers.FetchKnowledge(seed, kCallTimeout,
                           [&loop = m_loop, weak = std::weak_ptr(m_self),
                            seed](std::optional<StoreKnowledge> reply) {
                             loop.Post([weak, seed, reply = std::move(reply)] {
                               if (const auto self = weak.lock()) {
                                 (*self)->OnReply(seed, reply);
                               }
                             });
                           });
  }

  void OnReply(const Endpoint& seed,
               const std::optional<StoreKnowledge>& reply) {
    if (!reply || reply->routes.empty()) {
      WriteLog(LogLevel::kInfo, "seed_knows_nothing",
               {Field("seed", ToString(seed)),
                Field("answered", reply.has_value())});
      ScheduleQuery(kRetryDelay);
      return;
    }
    Stop();
    m_done(*reply);
  }

  EventLoop& m_loop;
  PeerNetwork& m_peers;
  std::vector<Endpoint> m_seeds;
  std::function<void(const StoreKnowledge&)> m_done;
  std::size_t m_next = 0;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<PeerSeedReader*> m_self;
};

}  // namespace

std::unique_ptr<SeedReader> SeedReader::Create(EventLoop& loop,
                                               PeerNetwork& peers,
                                               std::vector<Endpoint> seeds) {
  return std::make_unique<PeerSeedReader>(loop, peers, std::move(seeds));
}

}  // namespace bramleyspoke
