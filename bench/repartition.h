#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "fleet.h"
#include "version/manifest.h"

namespace bramleyspoke::Harness {

/// Returns a layout with twice as many shards; each leaf serves two of them.
Layout SplitInTwo(const Layout& layout, std::string id);

/// Moves a service's leafs, one at a time, to `version` of a layout made by
/// `SplitInTwo`: first every leaf adds the new version, then every leaf removes
/// the old one. `pause` is called after each step.
void MoveToLayout(Fleet& fleet,
                  std::string_view service,
                  const IndexVersion& version,
                  const std::function<void()>& pause);

}  // namespace bramleyspoke::Harness
