#pragma once

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "child_process.h"
#include "connection/http_message.h"

namespace bramleyspoke {

/// Failure domain and region of a daemon; leafs are in the default ones.
struct DaemonLocation {
  std::string failure_domain = "z";
  std::string region = "r";
};

/// A relaying daemon, run as a process that listens on several ports of one
/// loopback address.
class RelayProcess {
 public:
  static constexpr std::chrono::milliseconds kDefaultStopBound{1000};
  /// The setting `repeats`.
  static constexpr std::string_view kDefaultRepeats =
      R"({"ratio":0.2,"slack":50})";

  /// `seeds` is the list of peers in the settings' JSON, without brackets.
  RelayProcess(std::string ip,
               const Endpoint& store,
               const std::string& seeds,
               const DaemonLocation& location = {},
               std::chrono::milliseconds stop_bound = kDefaultStopBound,
               std::string_view repeats = kDefaultRepeats);
  ~RelayProcess();

  Endpoint Callers() const { return {m_ip, 8104}; }
  Endpoint Peers() const { return PeersOn(m_ip); }
  /// Where the daemon on this address listens for peers.
  static Endpoint PeersOn(const std::string& ip) { return {ip, 8106}; }

  /// Sends a request with this body and waits for the answer.
  HttpResponse Send(const std::string& body,
                    const std::string& target = "/lookup") const;
  bool Serves() const { return Send("plain").status == 200; }
  /// The daemon's answer to a caller that asks for addresses.
  std::string AddressAnswer() const;
  std::string Log() const;
  std::string Metrics() const;
  /// Number of the daemon's calls to the store so far; of one kind if given.
  int CountStoreCalls(std::string_view kind = {}) const;
  /// Kills the process and starts it again.
  void Restart();
  bool IsRunning() { return m_process->IsRunning(); }
  void Signal(int signal) { m_process->Signal(signal); }
  /// Whether the process ends within `timeout`.
  bool WaitForEnd(Duration timeout) {
    return m_process->Wait(timeout).has_value();
  }

 private:
  void Start();

  std::string m_ip;
  std::filesystem::path m_settings;
  std::unique_ptr<Harness::ChildProcess> m_process;
};

}  // namespace bramleyspoke
