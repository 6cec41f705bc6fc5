#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/result.h"

namespace bramleyspoke::Harness {

/// A network 127.n.0.0/16 and a directory that no other fleet uses.
///
/// Separates the fleets of tests that run in parallel.
class FleetNetwork {
 public:
  /// Claims the first free network; the destructor releases it.
  static Result<std::unique_ptr<FleetNetwork>> Create();
  ~FleetNetwork();
  FleetNetwork(const FleetNetwork&) = delete;
  FleetNetwork& operator=(const FleetNetwork&) = delete;

  /// Second octet of the addresses.
  int SecondOctet() const { return m_second_octet; }
  const std::string& Directory() const { return m_directory; }
  Endpoint Store() const;
  Endpoint StoreControl() const;
  Endpoint VmList() const;
  Endpoint LeafControl(std::size_t process) const;
  Endpoint Caller(std::size_t daemon) const;
  Endpoint Peer(std::size_t daemon) const;
  /// Address of a leaf that has a host of its own.
  Endpoint Leaf(std::size_t leaf) const;

 private:
  FleetNetwork(int second_octet, int socket);
  Endpoint Address(std::size_t third_octet,
                   std::size_t fourth_octet,
                   std::uint16_t port) const;

  int m_second_octet;
  /// Bound while this object holds the network.
  int m_socket;
  std::string m_directory;
};

}  // namespace bramleyspoke::Harness
