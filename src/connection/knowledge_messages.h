#pragma once

#include "peer.capnp.h"
#include "version/store_knowledge.h"

namespace bramleyspoke {

void WriteKnowledge(const StoreKnowledge& knowledge,
                    wire::Knowledge::Builder builder);
/// Entries with malformed addresses are left out.
StoreKnowledge ReadKnowledge(wire::Knowledge::Reader reader);

}  // namespace bramleyspoke
