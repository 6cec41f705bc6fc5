#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"

namespace bramleyspoke {

/// How a silent connection behaves towards the client.
enum class SilenceKind {
  /// No segment of the client is acknowledged, as if a device on the path had
  /// dropped the connection's state.
  kUnacknowledged,
  /// The client's data is acknowledged, as if the server's process had hung.
  kAcknowledged,
};

/// How the path through a proxy is cut for some time.
enum class CutKind {
  /// No segment of a client arrives, on open connections and new ones.
  kHangs,
  /// Open connections are reset, and new ones refused.
  kResets,
  /// Open connections live on while new ones are refused.
  kRefusesNew,
};

/// TCP proxy on loopback whose open connections can go silent for good without
/// a reset, while new ones work; or that closes all connections.
class SilentProxy {
 public:
  static std::unique_ptr<SilentProxy> Create(const Endpoint& server);
  virtual ~SilentProxy() = default;

  virtual Endpoint Address() const = 0;
  /// Silences each open connection on which the client has sent `text`, ""
  /// for all; returns how many.
  virtual std::size_t SilenceOpen(SilenceKind kind,
                                  std::string_view text = "") = 0;
  /// Resets all open connections at one moment.
  virtual void ResetOpen() = 0;
  /// Cuts the path, until `EndCut`.
  virtual void BeginCut(CutKind kind) = 0;
  virtual void EndCut() = 0;
  /// Closes all connections, and new ones as soon as they are opened.
  virtual void RefuseAll() = 0;
  /// Serves new connections again.
  virtual void ServeAgain() = 0;
};

}  // namespace bramleyspoke
