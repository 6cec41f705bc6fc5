#include "fleet_network.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

namespace bramleyspoke::Harness {
namespace {

constexpr int kMinSecondOctet = 20;
constexpr int kMaxSecondOctet = 250;
constexpr std::uint16_t kClaimPort = 7999;
constexpr std::uint16_t kStorePort = 2379;
constexpr std::uint16_t kVmListPort = 8500;
constexpr std::uint16_t kControlPort = 7900;
constexpr std::uint16_t kCallerPort = 8080;
constexpr std::uint16_t kPeerPort = 9000;
constexpr std::uint16_t kLeafPort = 7000;
constexpr std::size_t kPlatformSubnet = 0;
constexpr std::size_t kDaemonSubnet = 1;
constexpr std::size_t kLeafSubnet = 2;
constexpr std::size_t kFirstControlHost = 10;
constexpr std::size_t kDaemonsPerSubnet = 250;
// Third octet from the 251st daemon on; the octets in between are for leafs.
constexpr std::size_t kSecondDaemonSubnet = 100;

// Returns a bound socket, or -1 if another fleet holds the network.
int Claim(int second_octet) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kClaimPort);
  address.sin_addr.s_addr =
      htonl(0x7F000001U | (static_cast<unsigned>(second_octet) << 16U));
  if (bind(file, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0) {
    return file;
  }
  close(file);
  return -1;
}

std::string MakeDirectory() {
  const char* base = std::getenv("TMPDIR");
  std::string name = std::string(base != nullptr ? base : "/tmp") +
                     "/bramleyspoke-fleet-XXXXXX";
  return mkdtemp(name.data()) != nullptr ? name : std::string();
}

}  // namespace

Result<std::unique_ptr<FleetNetwork>> FleetNetwork::Create() {
  for (int second_octet = kMinSecondOctet; second_octet <= kMaxSecondOctet;
       ++second_octet) {
    const int file = Claim(second_octet);
    if (file >= 0) {
      return std::unique_ptr<FleetNetwork>(
          new FleetNetwork(second_octet, file));
    }
  }
  return Fail("127.0.0.0/8", "a free network 127.20.0.0/16 to 127.250.0.0/16");
}

FleetNetwork::FleetNetwork(int second_octet, int socket)
    : m_second_octet(second_octet),
      m_socket(socket),
      m_directory(MakeDirectory()) {}

FleetNetwork::~FleetNetwork() {
  close(m_socket);
  if (std::getenv("BRAMLEYSPOKE_KEEP_OUTPUT") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
  }
}

Endpoint FleetNetwork::Address(std::size_t third_octet,
                               std::size_t fourth_octet,
                               std::uint16_t port) const {
  return Endpoint{"127." + std::to_string(m_second_octet) + "." +
                      std::to_string(third_octet) + "." +
                      std::to_string(fourth_octet),
                  port};
}

Endpoint FleetNetwork::Store() const {
  return Address(kPlatformSubnet, 1, kStorePort);
}

// The stand-in's default control port is the one after its client port.
Endpoint FleetNetwork::StoreControl() const {
  return Address(kPlatformSubnet, 1, kStorePort + 1);
}

Endpoint FleetNetwork::VmList() const {
  return Address(kPlatformSubnet, 2, kVmListPort);
}

Endpoint FleetNetwork::LeafControl(std::size_t process) const {
  return Address(kPlatformSubnet, kFirstControlHost + process, kControlPort);
}

Endpoint FleetNetwork::Caller(std::size_t daemon) const {
  const std::size_t subnet =
      daemon < kDaemonsPerSubnet ? kDaemonSubnet : kSecondDaemonSubnet;
  return Address(subnet, daemon % kDaemonsPerSubnet + 1, kCallerPort);
}

Endpoint FleetNetwork::Peer(std::size_t daemon) const {
  return Endpoint{Caller(daemon).host, kPeerPort};
}

Endpoint FleetNetwork::Leaf(std::size_t leaf) const {
  return Address(kLeafSubnet, leaf + 1, kLeafPort);
}

}  // namespace bramleyspoke::Harness
