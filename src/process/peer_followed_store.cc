#include "process/peer_followed_store.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "connection/event_loop.h"
#include "process/log.h"
#include "process/peer_watches.h"

namespace bramleyspoke {
namespace {

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

class PeerFollowedStoreImpl final : public PeerFollowedStore {
 public:
  PeerFollowedStoreImpl(EventLoop& loop,
                        std::unique_ptr<KeyValueStore> store,
                        PeerNetwork& peers,
                        PeerWatches& watches)
      : m_loop(loop),
        m_store(std::move(store)),
        m_peers(peers),
        m_watches(watches),
        m_self(std::make_shared<PeerFollowedStoreImpl*>(this)) {}

  void SetSource(std::optional<Endpoint> source) override {
    if (source == m_source) {
      return;
    }
    m_source = std::move(source);
    m_paused_until.reset();
    WriteLog(LogLevel::kInfo, "watch_source",
             {Field("peer", m_source ? ToString(*m_source) : std::string())});
  }

  void Watch(const std::string& prefix,
             std::int64_t revision,
             Duration wait,
             std::function<void(KeyValueChanges)> done) override {
    const bool is_paused = m_paused_until && Now() < *m_paused_until;
    if (m_source && !is_paused && wait > kMaxDirectWait) {
      WatchAtPeer(revision, std::min(wait, kPeerWait), std::move(done));
      return;
    }
    m_store->Watch(prefix, revision, wait,
                   [weak = std::weak_ptr(m_self), revision,
                    done = std::move(done)](const KeyValueChanges& changes) {
                     if (const auto self = weak.lock()) {
                       (*self)->PassOn(revision, changes);
                     }
                     done(changes);
                   });
  }

  // The peer's reply, if any, is ignored.
  void CancelWatches() override {
    if (auto done = std::exchange(m_done, nullptr)) {
      PauseSource("cancelled");
      done({});
    }
    m_store->CancelWatches();
  }

  void OnEraChange(std::function<void(const StoreEraChange&)> done) override {
    m_store->OnEraChange(
        [this, done = std::move(done)](const StoreEraChange& change) {
          m_watches.Interrupt();
          done(change);
        });
  }
  std::uint64_t Era() const override { return m_store->Era(); }
  void Range(const std::string& prefix,
             const std::string& after,
             ReadAge age,
             std::function<void(KeyValuePage)> done) override {
    m_store->Range(prefix, after, age, std::move(done));
  }
  void ReadRecentRevision(std::function<void(KeyValueRevision)> done) override {
    m_store->ReadRecentRevision(std::move(done));
  }
  void Grant(Duration time_to_live,
             std::function<void(LeaseGrant)> done) override {
    m_store->Grant(time_to_live, std::move(done));
  }
  void Renew(LeaseId lease, std::function<void(KeyValueStatus)> done) override {
    m_store->Renew(lease, std::move(done));
  }
  void Revoke(LeaseId lease,
              std::function<void(KeyValueStatus)> done) override {
    m_store->Revoke(lease, std::move(done));
  }
  void Put(const std::string& key,
           const std::string& value,
           LeaseId lease,
           std::function<void(KeyValueStatus)> done) override {
    m_store->Put(key, value, lease, std::move(done));
  }

 private:
  // Replies arrive on the peers' thread.
  void WatchAtPeer(std::int64_t revision,
                   Duration wait,
                   std::function<void(KeyValueChanges)> done) {
    m_done = std::move(done);
    const std::uint64_t number = ++m_last_call;
    m_peers.WatchStore(
        *m_source, {m_store->Era(), revision, wait}, wait + kTimeoutMargin,
        [&loop = m_loop, weak = std::weak_ptr(m_self), number,
         revision](KeyValueChanges changes) {
          loop.Post([weak, number, revision, changes = std::move(changes)] {
            if (const auto self = weak.lock()) {
              (*self)->OnPeerChanges(number, revision, changes);
            }
          });
        });
  }

  void OnPeerChanges(std::uint64_t number,
                     std::int64_t revision,
                     KeyValueChanges changes) {
    if (number != m_last_call || !m_done) {
      return;
    }
    const auto done = std::exchange(m_done, nullptr);
    if (changes.status != KeyValueStatus::kOk || changes.revision < revision) {
      PauseSource(ToString(changes.status));
      done({});
      return;
    }
    changes.is_from_peer = true;
    PassOn(revision, changes);
    done(std::move(changes));
  }

  // A daemon whose own watch fails no longer knows whether it has all changes.
  void PassOn(std::int64_t revision, const KeyValueChanges& changes) {
    if (changes.status == KeyValueStatus::kOk) {
      m_watches.Append(m_store->Era(), revision, changes);
    } else {
      m_watches.Interrupt();
    }
  }

  void PauseSource(std::string_view reason) {
    WriteLog(LogLevel::kInfo, "watch_source_paused",
             {Field("peer", m_source ? ToString(*m_source) : std::string()),
              Field("reason", reason)});
    m_paused_until = Now() + kSourcePause;
  }

  EventLoop& m_loop;
  const std::unique_ptr<KeyValueStore> m_store;
  PeerNetwork& m_peers;
  PeerWatches& m_watches;
  std::optional<Endpoint> m_source;
  /// Until when watches go to the store although there is a source.
  std::optional<TimePoint> m_paused_until;
  /// Callback of the outstanding watch at a peer, and its number.
  std::function<void(KeyValueChanges)> m_done;
  std::uint64_t m_last_call = 0;
  std::shared_ptr<PeerFollowedStoreImpl*> m_self;
};

}  // namespace

std::unique_ptr<PeerFollowedStore> PeerFollowedStore::Create(
    EventLoop& loop,
    std::unique_ptr<KeyValueStore> store,
    PeerNetwork& peers,
    PeerWatches& watches) {
  return std::make_unique<PeerFollowedStoreImpl>(loop, std::move(store), peers,
                                                 watches);
}

}  // namespace bramleyspoke
