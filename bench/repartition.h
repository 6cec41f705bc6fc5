#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "fleet.h"
#include "version/manifest.h"

namespace bramleyspoke::Harness {

/// A layout with twice the shards, each leaf with two of them.
Layout SplitInTwo(const Layout& layout, std::string id);

/// Moves a service's leafs, one after the other, to `version` of a layout made
/// by `SplitInTwo`: first each leaf takes it beside the old one, then each
/// drops the old one. `pause` is called after each step.
void MoveToLayout(Fleet& fleet,
                  std::string_view service,
                  const IndexVersion& version,
                  const std::function<void()>& pause);

}  // namespace bramleyspoke::Harness
