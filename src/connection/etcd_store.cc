#include "connection/etcd_store.h"

#include <string_view>
#include <utility>

#include "connection/etcd_message.h"
#include "connection/event_loop.h"
#include "connection/http_client.h"

// Outcome of a write: once sending has begun, the outcome is unknown without a
// response. Of the error responses, only those that the gateway sends before it
// proposes the write mean that nothing was written; after a 5xx response (no
// leader, or a timeout in the server) the write may still be applied.
//
// A call moves on to the next server only if it was not sent, so a write is
// never sent twice.

namespace bramleyspoke {
namespace {

constexpr int kHttpOk = 200;
// A message of a watch that is longer than this ends the watch.
constexpr std::size_t kMaxMessageBytes = std::size_t{16} * 1024 * 1024;
constexpr int kHttpTooManyRequests = 429;

bool IsRejection(int status) {
  switch (status) {
    case 400:
    case 401:
    case 403:
    case 404:
    case 405:
    case 413:
    case kHttpTooManyRequests:
      return true;
    default:
      return false;
  }
}

HttpRequest Post(std::string target, std::string body) {
  return HttpRequest{"POST", std::move(target), {}, std::move(body)};
}

StoreOutcome FailedWriteOutcome(const HttpOutcome& outcome) {
  if (!outcome.response) {
    return MayHaveArrived(outcome.failure) ? StoreOutcome::kUnknown
                                           : StoreOutcome::kUnavailable;
  }
  return IsRejection(outcome.response->status) ? StoreOutcome::kUnavailable
                                               : StoreOutcome::kUnknown;
}

bool IsSuccess(const HttpOutcome& outcome) {
  return outcome.response && outcome.response->status == kHttpOk;
}

StoreRead ToStoreRead(const HttpOutcome& outcome) {
  if (IsSuccess(outcome)) {
    if (auto value = ParseRange(outcome.response->body)) {
      return StoreRead{StoreOutcome::kOk, std::move(*value)};
    }
  }
  return StoreRead{StoreOutcome::kUnavailable, {}};
}

StoreWrite ToStoreWrite(const HttpOutcome& outcome) {
  if (IsSuccess(outcome)) {
    const auto write = ParseCompareAndSwap(outcome.response->body);
    return write ? *write : StoreWrite{StoreOutcome::kUnknown, 0};
  }
  return StoreWrite{FailedWriteOutcome(outcome), 0};
}

// One watch stream; it is not reopened when it breaks.
class EtcdWatch final : public StoreWatch {
 public:
  EtcdWatch(std::int64_t revision,
            std::function<void(StoreValue)> on_change,
            std::function<void()> on_end)
      : m_self(std::make_shared<EtcdWatch*>(this)),
        m_last_revision(revision),
        m_on_change(std::move(on_change)),
        m_on_end(std::move(on_end)) {}

  ~EtcdWatch() override { *m_self = nullptr; }

  void Start(EventLoop& loop,
             const std::optional<Endpoint>& server,
             const std::string& key) {
    m_loop = &loop;
    if (!server) {
      PostEnd();
      return;
    }
    m_stream = HttpStream::Open(
        loop, *server, Post("/v3/watch", EncodeWatch(key, m_last_revision + 1)),
        [self = m_self](std::string_view chunk) {
          if (*self != nullptr) {
            (*self)->OnData(chunk);
          }
        },
        [self = m_self] {
          if (*self != nullptr) {
            (*self)->End();
          }
        });
  }

 private:
  void OnData(std::string_view chunk) {
    const std::size_t searched = m_buffer.size();
    m_buffer.append(chunk);
    const auto self = m_self;
    std::size_t end = m_buffer.find('\n', searched);
    while (end != std::string::npos) {
      const std::string line = m_buffer.substr(0, end);
      m_buffer.erase(0, end + 1);
      OnLine(line);
      if (*self == nullptr || !m_on_end) {
        return;
      }
      end = m_buffer.find('\n');
    }
    if (m_buffer.size() > kMaxMessageBytes) {
      m_buffer.clear();
      PostEnd();
    }
  }

  void OnLine(const std::string& line) {
    const auto message = ParseWatchMessage(line);
    if (!message || message->is_cancelled) {
      PostEnd();
      return;
    }
    // Copies, because the callback may destroy the watch.
    const auto self = m_self;
    const auto on_change = m_on_change;
    for (const StoreValue& change : message->changes) {
      if (change.revision > m_last_revision) {
        m_last_revision = change.revision;
        on_change(change);
      }
      if (*self == nullptr) {
        return;
      }
    }
  }

  // Deferred, because the stream's callback still uses the stream.
  void PostEnd() {
    m_loop->Post([self = m_self] {
      if (*self != nullptr) {
        (*self)->End();
      }
    });
  }

  void End() {
    const auto on_end = std::exchange(m_on_end, nullptr);
    if (on_end) {
      on_end();
    }
  }

  std::shared_ptr<EtcdWatch*> m_self;
  EventLoop* m_loop = nullptr;
  std::int64_t m_last_revision;
  std::function<void(StoreValue)> m_on_change;
  std::function<void()> m_on_end;
  std::unique_ptr<HttpStream> m_stream;
  std::string m_buffer;
};

class EtcdStoreImpl final : public EtcdStore {
 public:
  EtcdStoreImpl(EventLoop& loop,
                std::vector<Endpoint> servers,
                Duration call_timeout)
      : m_loop(loop),
        m_call_timeout(call_timeout),
        m_state(std::make_shared<State>()) {
    m_state->servers = std::move(servers);
  }

  ~EtcdStoreImpl() override { m_state->is_closed = true; }

  void Get(const std::string& key,
           std::function<void(StoreRead)> done) override {
    Call(Post("/v3/kv/range", EncodeRange(key)),
         [done = std::move(done)](const HttpOutcome& outcome) {
           done(ToStoreRead(outcome));
         });
  }

  void CompareAndSwap(const std::string& key,
                      std::int64_t expected,
                      const std::string& value,
                      std::function<void(StoreWrite)> done) override {
    Call(Post("/v3/kv/txn", EncodeCompareAndSwap(key, expected, value)),
         [done = std::move(done)](const HttpOutcome& outcome) {
           done(ToStoreWrite(outcome));
         });
  }

  std::unique_ptr<StoreWatch> Watch(const std::string& key,
                                    std::int64_t revision,
                                    std::function<void(StoreValue)> on_change,
                                    std::function<void()> on_end) override {
    auto watch = std::make_unique<EtcdWatch>(revision, std::move(on_change),
                                             std::move(on_end));
    watch->Start(m_loop, CurrentServer(), key);
    return watch;
  }

 private:
  // Outlives the store while calls are in flight.
  struct State {
    std::vector<Endpoint> servers;
    std::size_t current = 0;
    bool is_closed = false;
  };

  using Reply = std::function<void(const HttpOutcome&)>;

  std::optional<Endpoint> CurrentServer() const {
    const auto& servers = m_state->servers;
    return servers.empty() ? std::nullopt
                           : std::optional(servers[m_state->current]);
  }

  void Call(const HttpRequest& request, const Reply& reply) {
    const TimePoint deadline =
        std::chrono::steady_clock::now() + m_call_timeout;
    CallServer(m_loop, m_state, request, deadline, 1, reply);
  }

  static void CallServer(EventLoop& loop,
                         const std::shared_ptr<State>& state,
                         const HttpRequest& request,
                         TimePoint deadline,
                         std::size_t attempt,
                         const Reply& reply) {
    if (state->servers.empty()) {
      loop.Post([reply] { reply(HttpOutcome{}); });
      return;
    }
    HttpCall(loop, state->servers[state->current], request, deadline,
             [&loop, state, request, deadline, attempt,
              reply](const HttpOutcome& outcome) {
               if (state->is_closed) {
                 return;
               }
               const bool was_sent =
                   outcome.response || MayHaveArrived(outcome.failure);
               if (!was_sent) {
                 state->current = (state->current + 1) % state->servers.size();
               }
               if (was_sent || attempt >= state->servers.size() ||
                   std::chrono::steady_clock::now() >= deadline) {
                 reply(outcome);
                 return;
               }
               CallServer(loop, state, request, deadline, attempt + 1, reply);
             });
  }

  EventLoop& m_loop;
  Duration m_call_timeout;
  std::shared_ptr<State> m_state;
};

}  // namespace

std::unique_ptr<EtcdStore> EtcdStore::Create(EventLoop& loop,
                                             std::vector<Endpoint> servers,
                                             Duration call_timeout) {
  return std::make_unique<EtcdStoreImpl>(loop, std::move(servers),
                                         call_timeout);
}

}  // namespace bramleyspoke
