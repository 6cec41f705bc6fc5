// Stand-ins and helpers for the scripts of this review: the platform's store,
// leafs, callers and daemon processes, all on loopback and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;

inline std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

inline void SleepUntil(std::int64_t at_ms) {
  SleepMs(at_ms - NowMs());
}

inline bool IsTroubleOn() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8lld ms  ", static_cast<long long>(NowMs()));
    va_list args;
    va_start(args, format);
    std::vfprintf(m_file, format, args);
    va_end(args);
    std::fprintf(m_file, "\n");
    std::fflush(m_file);
  }

 private:
  std::FILE* m_file;
  std::mutex m_mutex;
};

inline Record*& TheRecord() {
  static Record* record = nullptr;
  return record;
}

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

[[noreturn]] inline void Stop(int code, const std::string& why);

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int Listen(int port = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Ports that are free now; each is given out once. They are below the range
// from which the system takes ports for outgoing connections.
inline int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static int next = static_cast<int>(::getpid()) * 61 % kCount;
  for (;;) {
    const int port = kFirst + next++ % kCount;
    const int fd = Listen(port);
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
  }
}

inline std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool is_complete = false;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Word(int index) const {
    std::istringstream stream(start);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      stream >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

// One HTTP/1.1 connection, blocking.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  ~Connection() { ::close(m_fd); }

  int Fd() const { return m_fd; }

  bool SendAll(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t sent = ::send(m_fd, text.data() + at, text.size() - at,
                                  MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }

  // Empty at the end of the connection or at `until_ms`.
  std::optional<Message> Read(std::int64_t until_ms) {
    Message message;
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) {
        return std::nullopt;
      }
    }
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::getline(head, message.start);
    while (!message.start.empty() && message.start.back() == '\r') {
      message.start.pop_back();
    }
    std::string line;
    while (std::getline(head, line)) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    const std::string length = message.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
      if (!Fill(until_ms)) {
        return std::nullopt;
      }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    message.is_complete = true;
    return message;
  }

 private:
  bool Fill(std::int64_t until_ms) {
    pollfd entry{m_fd, POLLIN, 0};
    const std::int64_t left = until_ms - NowMs();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t size = ::recv(m_fd, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int m_fd;
  std::string m_buffer;
};

inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

constexpr std::int64_t kForever = std::int64_t{1} << 40;

using Handler =
    std::function<std::optional<std::string>(const Message&, Connection&)>;

// A server with a thread for each connection; the handler returns the bytes of
// the response, or nothing to close the connection.
class Server {
 public:
  explicit Server(Handler handler, int port = 0)
      : m_handler(std::move(handler)), m_fd(Listen(port)) {
    m_port = PortOf(m_fd);
    std::thread([this] { Accept(); }).detach();
  }
  int Port() const { return m_port; }

 private:
  void Accept() {
    for (;;) {
      const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        while (const auto request = connection.Read(kForever)) {
          const auto response = m_handler(*request, connection);
          if (!response || !connection.SendAll(*response)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler m_handler;
  int m_fd;
  int m_port = 0;
};

inline std::string Response(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string JsonResponse(int status, const json::value& body) {
  return Response(status, json::serialize(body),
                  {{"Content-Type", "application/json"}});
}

inline std::string Base64(const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 |
              (i + j < text.size() ? static_cast<unsigned char>(text[i + j])
                                   : 0U);
    }
    out += kDigits[value >> 18 & 63];
    out += kDigits[value >> 12 & 63];
    out += i + 1 < text.size() ? kDigits[value >> 6 & 63] : '=';
    out += i + 2 < text.size() ? kDigits[value & 63] : '=';
  }
  return out;
}

// The platform's store. All its answers are linearizable, except those of reads
// with `allow_stale`, which are `stale_ms` old.
class Store {
 public:
  Store() : m_server([this](const Message& m, Connection&) {
      return Handle(m);
    }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  int Port() const { return m_server.Port(); }
  std::atomic<std::int64_t> stale_ms{0};

  // Writes as the operator or a leaf; the return is the acknowledgement.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Write(key, Base64(value), 0);
    m_changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
    m_changed.notify_all();
  }
  std::size_t CountKeys(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_items.begin(), m_items.end(), [&](const auto& row) {
          return row.first.rfind(prefix, 0) == 0;
        }));
  }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::int64_t revision;
    std::int64_t at_ms;
    std::string key;
    std::optional<Item> item;
  };
  struct Lease {
    std::int64_t ttl_ms;
    std::int64_t ends_ms;
  };

  void Write(const std::string& key, const std::string& value,
             std::int64_t lease) {
    ++m_revision;
    Item& item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back({m_revision, NowMs(), key, item});
  }
  void Erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
      ++m_revision;
      m_events.push_back({m_revision, NowMs(), key, std::nullopt});
    }
  }

  static json::object Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created_revision", item.created},
            {"lease_id", item.lease}};
  }

  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t begin = target.find('?');
    std::istringstream stream(
        begin == std::string::npos ? "" : target.substr(begin + 1));
    std::string pair;
    while (std::getline(stream, pair, '&')) {
      const std::size_t equals = pair.find('=');
      query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : Decode(pair.substr(equals + 1));
    }
    return query;
  }

  std::optional<std::string> Handle(const Message& m) {
    const std::string method = m.Word(0);
    const std::string target = m.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    const auto query = Query(target);
    const auto get = [&](const char* name) {
      const auto found = query.find(name);
      return found == query.end() ? std::string() : found->second;
    };
    SleepMs(4);
    std::unique_lock lock(m_mutex);
    if (path == "/-/kv-key") {
      const auto found = m_items.find(get("key"));
      return found == m_items.end()
                 ? JsonResponse(404, json::object())
                 : JsonResponse(200, Row(found->first, found->second));
    }
    if (path == "/-/kv-range") {
      return Range(get("prefix"), get("after"), get("allow_stale") == "1");
    }
    if (path == "/-/kv-watch") {
      return Watch(lock, get("prefix"), std::stoll(get("after")),
                   std::stoll(get("wait_ms")));
    }
    if (path == "/-/kv-txn") {
      return Transact(json::parse(m.body).as_object());
    }
    if (path == "/-/kv-lease") {
      const std::int64_t ttl = std::max<std::int64_t>(
          1000, json::parse(m.body).at("ttl_ms").to_number<std::int64_t>());
      m_leases[++m_last_lease] = {ttl, NowMs() + ttl};
      return JsonResponse(200, json::object{{"lease_id", m_last_lease},
                                            {"ttl_ms", ttl}});
    }
    if (path.rfind("/-/kv-keep/", 0) == 0) {
      const auto found = m_leases.find(std::stoll(path.substr(11)));
      if (found == m_leases.end()) {
        return JsonResponse(404, json::object());
      }
      found->second.ends_ms = NowMs() + found->second.ttl_ms;
      return JsonResponse(200, json::object{{"ttl_ms", found->second.ttl_ms}});
    }
    if (path.rfind("/-/kv-lease-end/", 0) == 0) {
      EndLease(std::stoll(path.substr(16)));
      m_changed.notify_all();
      return JsonResponse(200, json::object());
    }
    return JsonResponse(404, json::object());
  }

  std::string Range(const std::string& prefix, const std::string& after,
                    bool is_stale) {
    std::map<std::string, Item> old;
    std::int64_t revision = m_revision;
    const std::map<std::string, Item>* items = &m_items;
    if (is_stale && stale_ms > 0) {
      const std::int64_t until = NowMs() - stale_ms;
      revision = 1;
      for (const Event& event : m_events) {
        if (event.at_ms > until) {
          break;
        }
        revision = event.revision;
        if (event.item) {
          old[event.key] = *event.item;
        } else {
          old.erase(event.key);
        }
      }
      items = &old;
    }
    json::array rows;
    bool has_more = false;
    for (const auto& [key, item] : *items) {
      if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
        continue;
      }
      if (rows.size() >= 500) {
        has_more = true;
        break;
      }
      rows.push_back(Row(key, item));
    }
    return JsonResponse(200, json::object{{"items", std::move(rows)},
                                          {"has_more", has_more},
                                          {"at_revision", revision}});
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& prefix, std::int64_t after,
                    std::int64_t wait_ms) {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(wait_ms);
    json::array events;
    for (;;) {
      for (const Event& event : m_events) {
        if (event.revision <= after || event.key.rfind(prefix, 0) != 0) {
          continue;
        }
        if (event.item) {
          events.push_back(Row(event.key, *event.item));
        } else {
          events.push_back(json::object{{"key", event.key},
                                        {"revision", event.revision},
                                        {"tombstone", true}});
        }
      }
      if (!events.empty() ||
          m_changed.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    return JsonResponse(200, json::object{{"events", std::move(events)},
                                          {"at_revision", m_revision}});
  }

  std::string Transact(const json::object& body) {
    json::array conflicts;
    bool is_met = true;
    for (const json::value& row : body.at("expected_revision").as_array()) {
      const std::string key(row.at("key").as_string().c_str());
      const auto found = m_items.find(key);
      const std::int64_t now =
          found == m_items.end() ? 0 : found->second.revision;
      is_met = is_met && now == row.at("revision").to_number<std::int64_t>();
      if (found != m_items.end()) {
        conflicts.push_back(Row(key, found->second));
      }
    }
    if (!is_met) {
      return JsonResponse(412, json::object{{"items", conflicts}});
    }
    for (const json::value& row : body.at("puts").as_array()) {
      const auto lease = row.at("lease_id").to_number<std::int64_t>();
      if (lease != 0 && !m_leases.contains(lease)) {
        return JsonResponse(404, json::object());
      }
    }
    for (const json::value& row : body.at("puts").as_array()) {
      Write(row.at("key").as_string().c_str(),
            row.at("value").as_string().c_str(),
            row.at("lease_id").to_number<std::int64_t>());
    }
    for (const json::value& key : body.at("remove").as_array()) {
      Erase(key.as_string().c_str());
    }
    m_changed.notify_all();
    return JsonResponse(200, json::object{{"revision", m_revision}});
  }

  void EndLease(std::int64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }

  void ExpireLeases() {
    for (;;) {
      SleepMs(50);
      const std::lock_guard lock(m_mutex);
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : m_leases) {
        if (lease.ends_ms <= NowMs()) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t id : ended) {
        EndLease(id);
      }
      if (!ended.empty()) {
        m_changed.notify_all();
      }
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::map<std::int64_t, Lease> m_leases;
  std::int64_t m_revision = 1;
  std::int64_t m_last_lease = 0;
  Server m_server;
};

// A leaf: `slots` requests at a time, then a queue; one request at a time on a
// connection.
class Leaf {
 public:
  struct Run {
    std::string request_id;
    std::int64_t began_ms;
    std::int64_t ended_ms;
  };

  Leaf(Store& store, std::string id, std::string service, std::string zone,
       int slots, std::int64_t work_ms)
      : m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_slots(slots),
        m_work_ms(work_ms),
        m_server([this](const Message& m, Connection& c) {
          return Handle(m, c);
        }) {
    Register("ready");
  }

  const std::string& Id() const { return m_id; }
  std::vector<Run> Runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }
  void Register(const std::string& state) {
    m_store.Put("servers/" + m_id,
                json::serialize(json::object{
                    {"service", m_service},
                    {"address", Address(m_server.Port())},
                    {"zone", m_zone},
                    {"version", "1"},
                    {"slots", m_slots},
                    {"state", state},
                    {"cold_remaining_ms", 0},
                    {"seq", ++m_seq}}));
  }

 private:
  std::optional<std::string> Handle(const Message& m, Connection&) {
    const std::string id = m.Header("Request-Id");
    if (m.Word(1) == "/health") {
      return Response(200, "", {{"Instance-Id", m_id}});
    }
    if (id.empty()) {
      return Response(400, "", {{"Not-Executed", "1"}});
    }
    const std::string expected = m.Header("Expected-Instance");
    if (!expected.empty() && expected != m_id) {
      return Response(421, "", {{"Not-Executed", "1"}, {"Request-Id", id}});
    }
    const std::int64_t arrived = NowMs();
    const std::string deadline = m.Header("Deadline-Milliseconds");
    const std::int64_t until =
        deadline.empty() ? kForever : arrived + std::stoll(deadline);
    std::unique_lock lock(m_mutex);
    if (m_running >= m_slots && m_waiting >= kQueue) {
      return Response(503, "", {{"Not-Executed", "1"}, {"Request-Id", id}});
    }
    ++m_waiting;
    while (m_running >= m_slots && NowMs() < until) {
      m_free.wait_for(lock, std::chrono::milliseconds(5));
    }
    --m_waiting;
    if (NowMs() >= until) {
      return Response(503, "", {{"Not-Executed", "1"}, {"Request-Id", id}});
    }
    ++m_running;
    const std::int64_t began = NowMs();
    const std::size_t run = m_runs.size();
    m_runs.push_back({id, began, 0});
    TheRecord()->Line("leaf %s runs %s", m_id.c_str(), id.c_str());
    lock.unlock();
    const std::int64_t end = std::min(began + m_work_ms, until);
    SleepUntil(end);
    lock.lock();
    --m_running;
    m_runs[run].ended_ms = NowMs();
    m_free.notify_all();
    const std::string stamp = m_id + "." + id;
    const std::string load = std::to_string(m_running) + "," +
                             std::to_string(m_waiting) + "," +
                             std::to_string(m_slots);
    const bool is_done = end == began + m_work_ms;
    return Response(is_done ? 200 : 504, "from " + m_service,
                    {{"Request-Id", id},
                     {"Response-Stamp", stamp},
                     {"Server-Load", load},
                     {"Content-Type", "text/plain"}});
  }

  // Requests that wait for a slot at most.
  static constexpr int kQueue = 12;

  Store& m_store;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  int m_slots;
  std::int64_t m_work_ms;
  std::int64_t m_seq = 0;
  std::mutex m_mutex;
  std::condition_variable m_free;
  int m_running = 0;
  int m_waiting = 0;
  std::vector<Run> m_runs;
  Server m_server;
};

// Fills in a settings template as DEPLOY.md says.
class Template {
 public:
  static std::string Fill(const std::string& text, const json::value& fields) {
    std::vector<const json::value*> scopes{&fields};
    return Render(text, scopes, "", true);
  }

 private:
  static const json::value* Find(const std::vector<const json::value*>& scopes,
                                 const std::string& name) {
    if (name == ".") {
      return scopes.back();
    }
    for (auto scope = scopes.rbegin(); scope != scopes.rend(); ++scope) {
      const json::value* value = *scope;
      std::istringstream stream(name);
      std::string part;
      while (value != nullptr && std::getline(stream, part, '.')) {
        if (const auto* object = value->if_object()) {
          value = object->if_contains(part);
        } else if (const auto* array = value->if_array()) {
          const auto index = static_cast<std::size_t>(std::atoi(part.c_str()));
          value = index < array->size() ? &(*array)[index] : nullptr;
        } else {
          value = nullptr;
        }
      }
      if (value != nullptr) {
        return value;
      }
    }
    return nullptr;
  }

  static std::string Plain(const json::value& value) {
    if (value.is_string()) {
      return value.get_string().c_str();
    }
    if (value.is_double()) {
      std::ostringstream text;
      text << value.get_double();
      return text.str();
    }
    return json::serialize(value);
  }

  static std::string Render(const std::string& text,
                            std::vector<const json::value*>& scopes,
                            const std::string& key, bool is_last) {
    std::string out;
    std::size_t at = 0;
    for (;;) {
      const std::size_t open = text.find("{{", at);
      if (open == std::string::npos) {
        return out + text.substr(at);
      }
      out += text.substr(at, open - at);
      const std::size_t close = text.find("}}", open);
      std::string tag = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (tag == "@") {
        out += key;
      } else if (tag == ",") {
        out += is_last ? "" : ",";
      } else if (tag[0] == '#' || tag[0] == '^') {
        const std::string name = tag.substr(1);
        const std::string end = "{{/" + name + "}}";
        const std::size_t stop = text.find(end, at);
        const std::string inner = text.substr(at, stop - at);
        at = stop + end.size();
        const json::value* value = Find(scopes, name);
        const bool is_set = value != nullptr && !value->is_null() &&
                            !(value->is_bool() && !value->get_bool());
        if (tag[0] == '^') {
          out += is_set ? "" : Render(inner, scopes, key, is_last);
        } else if (is_set) {
          out += Repeat(inner, scopes, *value, key, is_last);
        }
      } else {
        const std::size_t bar = tag.find("|json");
        const json::value* value = Find(scopes, tag.substr(0, bar));
        if (value != nullptr) {
          out += bar == std::string::npos ? Plain(*value)
                                          : json::serialize(*value);
        }
      }
    }
  }

  static std::string Repeat(const std::string& inner,
                            std::vector<const json::value*>& scopes,
                            const json::value& value, const std::string& key,
                            bool is_last) {
    std::string out;
    const auto render = [&](const json::value& entry, const std::string& name,
                            bool last) {
      scopes.push_back(&entry);
      out += Render(inner, scopes, name, last);
      scopes.pop_back();
    };
    if (const auto* array = value.if_array()) {
      for (std::size_t i = 0; i < array->size(); ++i) {
        render((*array)[i], std::to_string(i), i + 1 == array->size());
      }
    } else if (const auto* object = value.if_object()) {
      std::size_t i = 0;
      for (const auto& member : *object) {
        render(member.value(), member.key(), ++i == object->size());
      }
    } else {
      out += Render(inner, scopes, key, is_last);
    }
    return out;
  }
};

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The settings that DEPLOY.md shows, for a machine on loopback.
struct Machine {
  std::string name;
  std::string zone;
  std::string region;
  int front = FreePort();
  int ready = FreePort();
  int control = FreePort();
  int directory = FreePort();
  int internal = FreePort();
  pid_t pid = 0;
  std::string settings_path;
  std::string log_path;

  json::object Fields(int store_port, const json::object& bounds,
                      const std::vector<int>& seeds) const {
    json::array seed_list;
    for (const int port : seeds) {
      seed_list.emplace_back(Address(port));
    }
    return {{"node_name", name},
            {"role", "relay"},
            {"machine_class", "front"},
            {"serves", json::array{"front", "directory", "control"}},
            {"ip", "127.0.0.1"},
            {"zone", zone},
            {"region", region},
            {"internal_port_range", json::array{internal, internal}},
            {"seeds", seed_list},
            {"first_start", true},
            {"zones", json::object{{"aktau-north", "aktau"},
                                   {"kuryk-ferry", "kuryk"},
                                   {"atyrau-quay", "atyrau"}}},
            {"listen_addresses",
             json::object{{"front", Address(front)},
                          {"ready", Address(ready)},
                          {"control", Address(control)},
                          {"directory", Address(directory)}}},
            {"limits", json::object{{"cpu_share", 0.25}, {"cores", 1}}},
            {"bounds", bounds},
            {"platform", json::object{{"address", Address(store_port)}}}};
  }
};

// The bounds of the tengiz-moor sheet.
inline json::object Bounds() {
  return {{"stable_window_ms", 4000},   {"drain_ms", 3000},
          {"grace_s", 6},               {"loss_slack_ms", 200},
          {"config_apply_ms", 3000},    {"rollback_slack_ms", 250},
          {"retry_budget_ratio", 0.2},  {"budget_window_s", 10},
          {"retry_budget_slack", 58},   {"recovery_s", 12}};
}

inline std::set<pid_t>& Children() {
  static std::set<pid_t> children;
  return children;
}

inline std::string& TemporaryFolder() {
  static std::string path;
  return path;
}

inline void WriteSettings(Machine& machine, const json::object& fields) {
  machine.settings_path = TemporaryFolder() + "/" + machine.name + ".json";
  const std::string next = machine.settings_path + ".next";
  std::ofstream(next) << Template::Fill(
      ReadFile("deploy/settings.template.json"), fields);
  std::rename(next.c_str(), machine.settings_path.c_str());
}

// The `run` line of the deploy file, with the place of the settings changed.
inline void StartDaemon(Machine& machine) {
  machine.log_path = TemporaryFolder() + "/" + machine.name + ".log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    const int log = ::open(machine.log_path.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl("target/bramleyspoked", "target/bramleyspoked", "--settings",
            machine.settings_path.c_str(), nullptr);
    ::_exit(127);
  }
  machine.pid = pid;
  Children().insert(pid);
}

// Whether the process has ended; reaps it.
inline bool HasEnded(Machine& machine, int* status) {
  if (machine.pid == 0 || ::waitpid(machine.pid, status, WNOHANG) == 0) {
    return false;
  }
  Children().erase(machine.pid);
  machine.pid = 0;
  return true;
}

inline void EndAll() {
  for (const pid_t pid : Children()) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  Children().clear();
  if (!TemporaryFolder().empty()) {
    std::string command = "rm -rf '" + TemporaryFolder() + "'";
    if (std::getenv("KEEP") == nullptr) {
      (void)!std::system(command.c_str());
    }
  }
}

[[noreturn]] inline void Stop(int code, const std::string& why) {
  TheRecord()->Line("END %s: %s",
                    code == kHeld     ? "the rule held"
                    : code == kBroken ? "THE RULE WAS BROKEN"
                                      : "the case could not run",
                    why.c_str());
  std::printf("%s\n", why.c_str());
  std::fflush(stdout);
  EndAll();
  std::_Exit(code);
}

inline void Begin(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  ::signal(SIGPIPE, SIG_IGN);
  NowMs();
  TheRecord() = new Record(argv[1]);
  char folder[] = "/tmp/review-XXXXXX";
  if (::mkdtemp(folder) == nullptr) {
    Stop(kCouldNotRun, "no temporary folder");
  }
  TemporaryFolder() = folder;
  if (::access("target/bramleyspoked", X_OK) != 0) {
    Stop(kCouldNotRun, "target/bramleyspoked is missing");
  }
  TheRecord()->Line("disruption: %s", IsTroubleOn() ? "on" : "off");
}

struct Answer {
  int status = 0;  // 0: the connection ended, or nothing came in time
  std::string body;
  std::string stamp;
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
};

// Sends one request on a new connection.
inline Answer Call(int port, const std::string& target,
                   const std::string& request_id, std::int64_t wait_ms,
                   const std::string& host = "shop.example") {
  Answer answer;
  answer.sent_ms = NowMs();
  const int fd = Connect(port);
  if (fd >= 0) {
    Connection connection(fd);
    const bool is_sent = connection.SendAll(
        "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " +
        request_id + "\r\nDeadline-Milliseconds: " + std::to_string(wait_ms) +
        "\r\n\r\n");
    const auto response =
        is_sent ? connection.Read(answer.sent_ms + wait_ms) : std::nullopt;
    if (response) {
      answer.status = response->Status();
      answer.body = response->body;
      answer.stamp = response->Header("Response-Stamp");
    }
  }
  answer.ended_ms = NowMs();
  return answer;
}

inline bool IsReady(const Machine& machine) {
  return Call(machine.ready, "/-/readiness", "readiness", 1000).status == 200;
}

inline void AwaitReady(const std::vector<Machine*>& machines,
                       std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  for (Machine* machine : machines) {
    while (!IsReady(*machine)) {
      if (NowMs() > until) {
        Stop(kCouldNotRun, machine->name + " did not become ready");
      }
      SleepMs(50);
    }
  }
}

}  // namespace lab
