#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace bramleyspoke {

enum class VmState {
  kLive,
  kLeaving,
};

/// One VM in the platform's list, which lags behind the VMs' actual state.
struct VmRecord {
  /// Peer endpoint of a daemon, or endpoint of a leaf.
  Endpoint address;
  VmState state = VmState::kLive;
};

/// The platform's list of VMs.
class VmList {
 public:
  virtual ~VmList() = default;
  /// `done` gets nothing if the list could not be fetched.
  virtual void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) = 0;
};

}  // namespace bramleyspoke
