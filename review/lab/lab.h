// Stand-ins for the review's scripts: the platform's store, leafs, clients and
// the daemon's process. Blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCouldNotRun = 2;

inline double SecondsSince(Clock::time_point begin) {
  return std::chrono::duration<double>(Clock::now() - begin).count();
}

inline void SleepUntil(Clock::time_point begin, double seconds) {
  std::this_thread::sleep_until(
      begin + std::chrono::duration_cast<Clock::duration>(
                  std::chrono::duration<double>(seconds)));
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Whether the disruption is to be caused: TROUBLE is not 0.
inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Lines with the time since the start, for record.txt.
class Record {
 public:
  explicit Record(const std::string& file) : m_out(file) {}

  template <typename... Parts>
  void Line(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", SecondsSince(m_begin));
    m_out << time << text.str() << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_out;
  const Clock::time_point m_begin = Clock::now();
};

/// A connected socket with a read buffer.
class Socket {
 public:
  explicit Socket(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;

  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  void SetTimeout(double seconds) {
    timeval time{static_cast<time_t>(seconds),
                 static_cast<suseconds_t>((seconds - static_cast<long>(seconds)) * 1e6)};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  }
  bool Write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t size =
          send(m_fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(size);
    }
    return true;
  }
  bool ReadUntil(const std::string& end, std::string& text) {
    std::size_t at = 0;
    while ((at = m_buffer.find(end)) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    text = m_buffer.substr(0, at);
    m_buffer.erase(0, at + end.size());
    return true;
  }
  bool ReadExactly(std::size_t size, std::string& text) {
    while (m_buffer.size() < size) {
      if (!Fill()) {
        return false;
      }
    }
    text = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

 private:
  bool Fill() {
    char bytes[65536];
    const ssize_t size = recv(m_fd, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int m_fd;
  std::string m_buffer;
};

/// A request or a response.
struct Message {
  /// The three words of the first line.
  std::string first, second, third;
  /// Names in lower case.
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int Status() const { return std::atoi(second.c_str()); }
};

inline bool ReadMessage(Socket& socket, Message& message) {
  std::string head;
  if (!socket.ReadUntil("\r\n\r\n", head)) {
    return false;
  }
  message = Message();
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  std::istringstream words(line);
  words >> message.first >> message.second >> message.third;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    message.headers[name] = value;
  }
  if (message.Header("transfer-encoding") == "chunked") {
    for (;;) {
      std::string size_line;
      std::string chunk;
      if (!socket.ReadUntil("\r\n", size_line)) {
        return false;
      }
      const std::size_t size = std::strtoul(size_line.c_str(), nullptr, 16);
      if (!socket.ReadExactly(size + 2, chunk)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
      message.body += chunk.substr(0, size);
    }
  }
  const std::string length = message.Header("content-length");
  return length.empty() ||
         socket.ReadExactly(std::strtoul(length.c_str(), nullptr, 10),
                            message.body);
}

inline std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  const int port = PortOf(fd);
  close(fd);
  return port;
}

inline std::string AddressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Accepts connections on a free loopback port; a thread for each runs `serve`.
class Server {
 public:
  virtual ~Server() = default;

  void Start() {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    listen(m_fd, 512);
    m_port = PortOf(m_fd);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        std::thread([this, fd] {
          Socket connection(fd);
          Serve(connection);
        }).detach();
      }
    }).detach();
  }
  int Port() const { return m_port; }
  std::string Address() const { return AddressOf(m_port); }

 protected:
  virtual void Serve(Socket& connection) = 0;

 private:
  int m_fd = -1;
  int m_port = 0;
};

inline std::string EncodeBase64(const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned value = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      value = value << 8U |
              (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      out += at + i > text.size() ? '=' : kDigits[value >> (18 - 6 * i) & 63U];
    }
  }
  return out;
}

/// The platform's store, as the users' pages describe it.
class Store final : public Server {
 public:
  /// The operator or a leaf writes a key.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    PutEncoded(key, EncodeBase64(value), 0);
  }

 protected:
  void Serve(Socket& connection) override {
    Message request;
    while (ReadMessage(connection, request)) {
      int status = 200;
      const std::string body = Answer(request, status);
      if (!connection.Write(MakeResponse(
              status, {{"Content-Type", "application/json"}}, body))) {
        return;
      }
    }
  }

 private:
  struct Item {
    std::string value;
    long revision = 0;
    long created = 0;
    long lease = 0;
  };
  struct Event {
    long revision;
    std::string json;
  };

  static std::string Parameter(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::string pair =
          target.substr(at + 1, target.find('&', at + 1) - at - 1);
      if (pair.rfind(name + "=", 0) == 0) {
        return Decode(pair.substr(name.size() + 1));
      }
      at = target.find('&', at + 1);
    }
    return "";
  }
  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        out += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        out += text[at];
      }
    }
    return out;
  }
  // The value of a member in one of the daemon's flat JSON objects.
  static std::string Member(const std::string& json, const std::string& name) {
    std::size_t at = json.find("\"" + name + "\"");
    if (at == std::string::npos) {
      return "";
    }
    at = json.find(':', at) + 1;
    while (json[at] == ' ') {
      ++at;
    }
    if (json[at] != '"') {
      return json.substr(at, json.find_first_of(",}]", at) - at);
    }
    std::string out;
    for (++at; json[at] != '"'; ++at) {
      if (json[at] == '\\') {
        ++at;
      }
      out += json[at];
    }
    return out;
  }
  static std::string ItemJson(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created_revision\":" + std::to_string(item.created) +
           ",\"lease_id\":" + std::to_string(item.lease) + "}";
  }
  void PutEncoded(const std::string& key, const std::string& value, long lease) {
    Item& item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back({m_revision, ItemJson(key, item)});
    m_changed.notify_all();
  }
  void Remove(const std::string& key) {
    m_items.erase(key);
    ++m_revision;
    m_events.push_back({m_revision, "{\"key\":\"" + key + "\",\"revision\":" +
                                        std::to_string(m_revision) +
                                        ",\"tombstone\":true}"});
    m_changed.notify_all();
  }
  std::string Answer(const Message& request, int& status) {
    const std::string& target = request.second;
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(m_mutex);
    if (path == "/-/kv-range") {
      const std::string prefix = Parameter(target, "prefix");
      const std::string after = Parameter(target, "after");
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          items += (items.empty() ? "" : ",") + ItemJson(key, item);
        }
      }
      return "{\"items\":[" + items + "],\"has_more\":false,\"at_revision\":" +
             std::to_string(m_revision) + "}";
    }
    if (path == "/-/kv-watch") {
      const long after = std::atol(Parameter(target, "after").c_str());
      const int wait_ms = std::atoi(Parameter(target, "wait_ms").c_str());
      m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                         [&] { return m_revision > after; });
      std::string events;
      for (const Event& event : m_events) {
        if (event.revision > after) {
          events += (events.empty() ? "" : ",") + event.json;
        }
      }
      return "{\"events\":[" + events + "],\"at_revision\":" +
             std::to_string(m_revision) + "}";
    }
    if (path == "/-/kv-txn") {
      const std::string key = Member(request.body, "key");
      PutEncoded(key, Member(request.body, "value"),
                 std::atol(Member(request.body, "lease_id").c_str()));
      return "{\"revision\":" + std::to_string(m_revision) + "}";
    }
    if (path == "/-/kv-lease") {
      return "{\"lease_id\":" + std::to_string(++m_last_lease) +
             ",\"ttl_ms\":" + Member(request.body, "ttl_ms") + "}";
    }
    if (path.rfind("/-/kv-keep/", 0) == 0) {
      return "{\"lease_id\":" + path.substr(11) + "}";
    }
    if (path.rfind("/-/kv-lease-end/", 0) == 0) {
      const long lease = std::atol(path.substr(16).c_str());
      std::vector<std::string> ended;
      for (const auto& [key, item] : m_items) {
        if (item.lease == lease) {
          ended.push_back(key);
        }
      }
      for (const std::string& key : ended) {
        Remove(key);
      }
      return "{}";
    }
    status = 404;
    return "{}";
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  long m_revision = 1;
  long m_last_lease = 100;
};

/// A leaf that runs requests in `slots` slots, queues some more, rejects those
/// beyond, and echoes their ids. It counts how often it has begun to run each
/// request, and knows when it last had it.
class Leaf final : public Server {
 public:
  /// Called instead of the leaf's own answer; true if it has answered.
  using Hook = std::function<bool(Leaf&, const Message&, Socket&)>;

  Leaf(std::string id, std::string service, int slots, double work_s, Record& record)
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_slots(slots),
        m_work_s(work_s),
        m_record(record) {}

  void SetHook(Hook hook) { m_hook = std::move(hook); }
  void SetQueue(int places) { m_queue = places; }
  /// When the leaf last began or ended work on each request, or queued it.
  std::map<std::string, Clock::time_point> LastHeld() {
    const std::lock_guard lock(m_mutex);
    std::map<std::string, Clock::time_point> times = m_ended;
    for (const std::string& id : m_held) {
      times[id] = Clock::now();
    }
    return times;
  }
  const std::string& Id() const { return m_id; }
  std::string Entry() const {
    return "{\"service\":\"" + m_service + "\",\"address\":\"" + Address() +
           "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
           std::to_string(m_slots) +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}";
  }
  std::map<std::string, int> Runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }
  /// Runs the request and returns its complete answer.
  std::string Run(const Message& request) {
    const std::string request_id = request.Header("request-id");
    std::unique_lock lock(m_mutex);
    if (m_running >= m_slots && m_waiting >= m_queue) {
      m_record.Line("leaf ", m_id, " is full and rejects ", request_id);
      return MakeResponse(
          503, {{"Request-Id", request_id}, {"Not-Executed", "1"}, {"Server-Load", Load()}}, "");
    }
    m_held.insert(request_id);
    ++m_waiting;
    const long turn = m_last_turn++;
    m_free.wait(lock, [&] { return m_running < m_slots && turn == m_next_turn; });
    ++m_next_turn;
    --m_waiting;
    ++m_running;
    ++m_runs[request_id];
    m_record.Line("leaf ", m_id, " begins to run ", request_id, " (",
                  request.first, " ", request.second, ", body of ",
                  request.body.size(), " bytes)");
    lock.unlock();
    m_free.notify_all();
    Sleep(m_work_s);
    lock.lock();
    --m_running;
    m_held.erase(request_id);
    m_ended[request_id] = Clock::now();
    const int number = ++m_last_stamp;
    const std::string load = Load();
    lock.unlock();
    m_free.notify_all();
    m_record.Line("leaf ", m_id, " answers ", request_id);
    return MakeResponse(200,
                        {{"Request-Id", request_id},
                         {"Response-Stamp", m_id + "." + std::to_string(number)},
                         {"Server-Load", load}},
                        "answer to " + request_id);
  }

 protected:
  void Serve(Socket& connection) override {
    Message request;
    while (ReadMessage(connection, request)) {
      if (m_hook && m_hook(*this, request, connection)) {
        continue;
      }
      const std::string request_id = request.Header("request-id");
      if (request.Header("expected-instance") != m_id) {
        connection.Write(MakeResponse(
            421, {{"Request-Id", request_id}, {"Not-Executed", "1"}}, ""));
        continue;
      }
      if (!connection.Write(Run(request))) {
        return;
      }
    }
  }

 private:
  std::string Load() const {
    return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
           std::to_string(m_slots);
  }

  const std::string m_id;
  const std::string m_service;
  const int m_slots;
  const double m_work_s;
  Record& m_record;
  int m_queue = 12;
  int m_waiting = 0;
  long m_last_turn = 0;
  long m_next_turn = 0;
  std::multiset<std::string> m_held;
  std::map<std::string, Clock::time_point> m_ended;
  Hook m_hook;
  std::mutex m_mutex;
  std::condition_variable m_free;
  std::map<std::string, int> m_runs;
  int m_running = 0;
  int m_last_stamp = 0;
};

struct DaemonPorts {
  int caller = FreePort();
  int readiness = FreePort();
  int address = FreePort();
  int peer = FreePort();
  int operators = FreePort();
};

/// A daemon, started with the command of the deploy file and settings as its
/// template makes them.
class Daemon {
 public:
  Daemon(std::string name, const Store& store, Record& record, const std::string& folder)
      : m_name(std::move(name)), m_record(record), m_file(folder + "/" + m_name + ".json") {
    std::ofstream(m_file)
        << "{\"relay\":{\"name\":\"" << m_name << "\",\"caller_listen\":\""
        << AddressOf(m_ports.caller) << "\",\"readiness_listen\":\""
        << AddressOf(m_ports.readiness) << "\",\"address_listen\":\""
        << AddressOf(m_ports.address) << "\",\"peer_listen\":\""
        << AddressOf(m_ports.peer) << "\",\"operator_listen\":\""
        << AddressOf(m_ports.operators)
        << "\",\"failure_domain\":\"zone-a\",\"region\":\"region-a\","
           "\"failure_domains\":[{\"name\":\"zone-a\",\"region\":\"region-a\"}],"
           "\"store\":\""
        << store.Address()
        << "\",\"seeds\":[],\"processor\":{\"share\":0.25,\"speed\":1},"
           "\"repeats\":{\"ratio\":0.2,\"slack\":58},\"apply_bound_ms\":3000,"
           "\"stop_bound_ms\":6000}}\n";
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;

  bool Start() {
    const char* program = "target/bramleyspoked";
    if (access(program, X_OK) != 0) {
      m_record.Line(program, " is missing");
      return false;
    }
    m_has_ended = false;
    m_pid = fork();
    if (m_pid == 0) {
      const int log = open((m_file + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(program, program, "--settings", m_file.c_str(), nullptr);
      _exit(127);
    }
    m_record.Line("daemon ", m_name, " starts");
    return m_pid > 0;
  }
  const std::string& Name() const { return m_name; }
  const DaemonPorts& Ports() const { return m_ports; }
  void Signal(int signal) {
    m_record.Line("daemon ", m_name, " gets signal ", signal);
    kill(m_pid, signal);
  }
  /// Whether the process has ended; `status` is that of waitpid.
  bool HasEnded() {
    if (m_pid > 0 && !m_has_ended) {
      m_has_ended = waitpid(m_pid, &m_status, WNOHANG) == m_pid;
      if (m_has_ended) {
        m_record.Line("daemon ", m_name, " has ended, ",
                      WIFEXITED(m_status)
                          ? "exit code " + std::to_string(WEXITSTATUS(m_status))
                          : "signal " + std::to_string(WTERMSIG(m_status)));
      }
    }
    return m_has_ended;
  }
  void Kill() {
    if (m_pid > 0 && !HasEnded()) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, &m_status, 0);
      m_has_ended = true;
    }
  }

 private:
  const std::string m_name;
  Record& m_record;
  const std::string m_file;
  const DaemonPorts m_ports;
  pid_t m_pid = 0;
  int m_status = 0;
  bool m_has_ended = false;
};

/// A client's connection, opened when the first request is sent.
class Client {
 public:
  explicit Client(int port) : m_port(port) {}

  /// Sends bytes; false if the connection cannot be opened.
  bool Send(const std::string& text) {
    if (!m_socket && !Open()) {
      return false;
    }
    return m_socket->Write(text);
  }
  /// False if the connection ends, or after `timeout_s`, without an answer.
  bool Receive(Message& answer, double timeout_s) {
    m_socket->SetTimeout(timeout_s);
    const bool is_read = ReadMessage(*m_socket, answer);
    if (!is_read || answer.Header("connection") == "close") {
      m_socket.reset();
    }
    return is_read;
  }
  bool IsOpen() const { return m_socket != nullptr; }

 private:
  bool Open() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(m_port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return false;
    }
    m_socket = std::make_unique<Socket>(fd);
    return true;
  }

  const int m_port;
  std::unique_ptr<Socket> m_socket;
};

/// Text of a client's request with a body of a given length.
inline std::string MakeRequest(const std::string& method,
                               const std::string& target,
                               const std::string& request_id,
                               int deadline_ms,
                               const std::string& body) {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + request_id +
                     "\r\nDeadline-Milliseconds: " + std::to_string(deadline_ms) + "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline bool WaitUntilReady(Daemon& daemon, double timeout_s) {
  const auto begin = Clock::now();
  while (SecondsSince(begin) < timeout_s) {
    Client client(daemon.Ports().readiness);
    Message answer;
    if (client.Send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
        client.Receive(answer, 1) && answer.Status() == 200) {
      return true;
    }
    Sleep(0.05);
  }
  return false;
}

/// A configuration with one route, to one service of 41 connections a leaf.
inline std::string OneRoute(const std::string& kind, int timeout_ms) {
  return "{\"version\":1,\"routes\":[{\"name\":\"job-card\",\"host\":\"h.example\","
         "\"prefix\":\"/jobs/\",\"route_kind\":\"" +
         kind + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
         ",\"target_latency_ms\":1000,\"max_attempts\":3,\"priority\":2,"
         "\"service\":\"invoicing\"}],\"services\":[{\"name\":\"invoicing\","
         "\"health_path\":\"/health\",\"connection_limit\":41,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// Ends the program at once: threads of the stand-ins still run.
[[noreturn]] inline void Finish(Record& record, int code) {
  record.Line(code == kExitBroken ? "the rule was broken"
              : code == kExitHeld ? "the rule held"
                                  : "the case could not run");
  _exit(code);
}

}  // namespace lab
