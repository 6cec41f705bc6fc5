#pragma once

#include "peer.capnp.h"
#include "version/store_knowledge.h"

namespace bramleyspoke {

void WriteKnowledge(const StoreKnowledge& knowledge,
                    wire::Knowledge::Builder builder);
/// Skips entries with malformed addresses.
StoreKnowledge ReadKnowledge(wire::Knowledge::Reader reader);

}  // namespace bramleyspoke
