#pragma once

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/kj_thread.h"
#include "connection/peer.h"

namespace bramleyspoke {

/// Client for calls to peers over pooled connections, used only on the kj
/// thread.
///
/// The pool has one connection per peer, closed when idle. Since a daemon
/// gossips with random peers among many, the pool size is limited: a new
/// connection to a full pool replaces the one that was unused the longest.
/// Connections with calls in flight are not replaced, so that the pool may
/// exceed the limit.
class PeerClient final : private kj::TaskSet::ErrorHandler {
 public:
  explicit PeerClient(KjThread& thread);
  ~PeerClient();

  void Start();
  void Gossip(const Endpoint& peer,
              const GossipMessage& message,
              Duration timeout,
              std::function<void(std::optional<GossipMessage>)> done);
  void PingVia(const Endpoint& peer,
               const Endpoint& target,
               Duration timeout,
               std::function<void(bool)> done);
  void Forward(const Endpoint& peer,
               std::string body,
               Duration timeout,
               std::function<void(ForwardOutcome)> done);
  void FetchParts(
      const Endpoint& peer,
      std::vector<std::string> hashes,
      Duration timeout,
      std::function<void(std::optional<std::vector<std::string>>)> done);
  void FetchKnowledge(const Endpoint& peer,
                      Duration timeout,
                      std::function<void(std::optional<StoreKnowledge>)> done);
  void WatchStore(const Endpoint& peer,
                  const PeerWatch& watch,
                  Duration timeout,
                  std::function<void(KeyValueChanges)> done);
  /// Fulfilling `cancelled` ends the call without calling `done`.
  void QueryShards(const Endpoint& peer,
                   const ShardQuery& query,
                   kj::Promise<void> cancelled,
                   std::function<void(ShardOutcome)> done);

 private:
  /// Whether a reply that takes long shows that the connection is silent.
  enum class ReplyTime { kPrompt, kMayBeLong };
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void taskFailed(kj::Exception&& exception) override;
  kj::TimePoint Now();
  ConnectionPtr FindOrConnect(const Endpoint& peer);
  void RemoveFromPool(const Endpoint& peer, const ConnectionPtr& connection);
  void CloseOldestIdle();
  kj::Promise<void> CloseIdleLoop();
  void CloseIdle();

  /// Calls `send` once connected. `done` gets the reply, or nothing on failure
  /// or timeout. Destroying the promise cancels the call.
  template <typename Reply, typename Send>
  kj::Promise<void> SendCall(
      const Endpoint& peer,
      Duration timeout,
      Send send,
      std::function<void(std::optional<Reply>, bool is_sent)> done,
      ReplyTime reply_time = ReplyTime::kPrompt);
  /// Like `SendCall`, with the promise kept in `m_tasks`.
  template <typename Reply, typename Send>
  void Call(const Endpoint& peer,
            Duration timeout,
            Send send,
            std::function<void(std::optional<Reply>, bool is_sent)> done,
            ReplyTime reply_time = ReplyTime::kPrompt);

  KjThread& m_thread;
  std::map<Endpoint, ConnectionPtr> m_pool;
  kj::TaskSet m_tasks;
};

}  // namespace bramleyspoke
