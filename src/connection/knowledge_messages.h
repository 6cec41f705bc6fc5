#pragma once

#include "connection/key_value_store.h"
#include "peer.capnp.h"
#include "version/store_knowledge.h"

namespace bramleyspoke {

void WriteKnowledge(const StoreKnowledge& knowledge,
                    wire::Knowledge::Builder builder);
/// Skips entries with malformed addresses.
StoreKnowledge ReadKnowledge(wire::Knowledge::Reader reader);
void WriteChanges(const KeyValueChanges& changes,
                  wire::StoreChanges::Builder builder);
KeyValueChanges ReadChanges(wire::StoreChanges::Reader reader);

}  // namespace bramleyspoke
