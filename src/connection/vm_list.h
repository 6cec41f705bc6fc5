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

/// One VM as the platform's lagging list has it.
struct VmRecord {
  /// Peer endpoint of a daemon, or endpoint of a leaf.
  Endpoint address;
  VmState state = VmState::kLive;
};

/// The platform's list of VMs.
class VmList {
 public:
  virtual ~VmList() = default;
  /// `done` gets nothing when the list could not be had.
  virtual void Fetch(
      std::function<void(std::optional<std::vector<VmRecord>>)> done) = 0;
};

}  // namespace bramleyspoke
