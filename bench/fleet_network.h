#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/result.h"

namespace bramleyspoke::Harness {

/// A part of 127.0.0.0/8 and a directory that no other fleet uses.
///
/// Fleets of tests that run side by side must not meet.
class FleetNetwork {
 public:
  /// Claims the first free number; released when destroyed.
  static Result<std::unique_ptr<FleetNetwork>> Create();
  ~FleetNetwork();
  FleetNetwork(const FleetNetwork&) = delete;
  FleetNetwork& operator=(const FleetNetwork&) = delete;

  /// Second number of the addresses.
  int Number() const { return m_number; }
  const std::string& Directory() const { return m_directory; }
  Endpoint Store() const;
  Endpoint StoreControl() const;
  Endpoint VmList() const;
  Endpoint LeafControl(std::size_t process) const;
  Endpoint Caller(std::size_t daemon) const;
  Endpoint Peer(std::size_t daemon) const;

 private:
  FleetNetwork(int number, int socket);
  Endpoint Address(std::size_t third,
                   std::size_t fourth,
                   std::uint16_t port) const;

  int m_number;
  /// Bound as long as the number is ours.
  int m_socket;
  std::string m_directory;
};

}  // namespace bramleyspoke::Harness
