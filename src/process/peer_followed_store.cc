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

// Without a newer revision, the next watch would get the same answer at once.
bool IsUsable(const KeyValueChanges& changes, std::int64_t watched) {
  const bool is_newer = changes.revision > watched;
  const bool is_same = changes.revision == watched && !changes.has_more;
  return changes.status == KeyValueStatus::kOk && (is_newer || is_same);
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
    OutstandingWatch watch{prefix, revision, wait, std::move(done)};
    const bool is_paused = m_paused_until && Now() < *m_paused_until;
    if (m_source && !is_paused && wait > kMaxDirectWait) {
      WatchAtPeer(std::move(watch));
    } else {
      WatchAtStore(std::move(watch));
    }
  }

  // The peer's reply, if any, is ignored.
  void CancelWatches() override {
    if (const auto watch = std::exchange(m_watch_at_peer, std::nullopt)) {
      PauseSource(kSourcePause, "cancelled");
      watch->done({});
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
  struct OutstandingWatch {
    std::string prefix;
    std::int64_t revision = 0;
    Duration wait{0};
    std::function<void(KeyValueChanges)> done;
  };

  void WatchAtStore(OutstandingWatch watch) {
    m_store->Watch(
        watch.prefix, watch.revision, watch.wait,
        [weak = std::weak_ptr(m_self), revision = watch.revision,
         done = std::move(watch.done)](const KeyValueChanges& changes) {
          if (const auto self = weak.lock()) {
            (*self)->PassOn(revision, changes);
          }
          done(changes);
        });
  }

  // Replies arrive on the peers' thread.
  void WatchAtPeer(OutstandingWatch watch) {
    const Duration wait = std::min(watch.wait, kPeerWait);
    const PeerWatch call{m_store->Era(), watch.revision, wait};
    m_watch_at_peer = std::move(watch);
    m_peers.WatchStore(
        *m_source, call, wait + kTimeoutMargin,
        [&loop = m_loop, weak = std::weak_ptr(m_self),
         number = ++m_last_call](KeyValueChanges changes) {
          loop.Post([weak, number, changes = std::move(changes)] {
            if (const auto self = weak.lock()) {
              (*self)->OnPeerChanges(number, changes);
            }
          });
        });
  }

  void OnPeerChanges(std::uint64_t number, KeyValueChanges changes) {
    if (number != m_last_call || !m_watch_at_peer) {
      return;
    }
    OutstandingWatch watch = *std::exchange(m_watch_at_peer, std::nullopt);
    if (changes.status == KeyValueStatus::kHistoryGone) {
      PauseSource(kUnknownRevisionPause, ToString(changes.status));
      WatchAtStore(std::move(watch));
      return;
    }
    if (!IsUsable(changes, watch.revision)) {
      PauseSource(kSourcePause, ToString(changes.status));
      watch.done({});
      return;
    }
    changes.is_from_peer = true;
    PassOn(watch.revision, changes);
    watch.done(std::move(changes));
  }

  // A daemon whose own watch fails no longer knows whether it has all changes.
  void PassOn(std::int64_t revision, const KeyValueChanges& changes) {
    if (changes.status == KeyValueStatus::kOk) {
      m_watches.Append(m_store->Era(), revision, changes);
    } else {
      m_watches.Interrupt();
    }
  }

  void PauseSource(Duration pause, std::string_view reason) {
    WriteLog(LogLevel::kInfo, "watch_source_paused",
             {Field("peer", m_source ? ToString(*m_source) : std::string()),
              Field("reason", reason)});
    m_paused_until = Now() + pause;
  }

  EventLoop& m_loop;
  const std::unique_ptr<KeyValueStore> m_store;
  PeerNetwork& m_peers;
  PeerWatches& m_watches;
  std::optional<Endpoint> m_source;
  /// Until when watches go to the store although there is a source.
  std::optional<TimePoint> m_paused_until;
  std::optional<OutstandingWatch> m_watch_at_peer;
  /// Number of the last call to a peer.
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
