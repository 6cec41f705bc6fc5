#pragma once

#include <kj/time.h>

#include <optional>
#include <string>
#include <vector>

#include "connection/peer.h"
#include "peer.capnp.h"

namespace bramleyspoke {

// Conversions between the structs of peer.h and Cap'n Proto messages.

void WriteGossip(const GossipMessage& message, wire::Gossip::Builder builder);
/// Skips members with a malformed address or an unknown state, and drain
/// notices with a malformed address. Returns nothing if the sender is
/// malformed.
std::optional<GossipMessage> ReadGossip(wire::Gossip::Reader reader);

/// The time that is left is written as of `now`; `since_boot` is the same
/// moment.
void WriteShardQuery(const ShardQuery& query,
                     TimePoint now,
                     Duration since_boot,
                     wire::ShardQuery::Builder builder);
/// Sets the query's times from the time that was left when it `arrived`.
ShardQuery ReadShardQuery(wire::ShardQuery::Reader reader, TimePoint arrived);
void WriteShardAnswer(const ShardAnswer& answer,
                      wire::ShardAnswer::Builder builder);
ShardAnswer ReadShardAnswer(wire::ShardAnswer::Reader reader);

void WriteTexts(const std::vector<std::string>& texts,
                capnp::List<capnp::Text>::Builder builder);
std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader reader);

void WriteBlobs(const std::vector<std::string>& blobs,
                capnp::List<capnp::Data>::Builder builder);
std::vector<std::string> ReadBlobs(capnp::List<capnp::Data>::Reader reader);

capnp::Data::Reader AsData(const std::string& text);
std::string FromData(capnp::Data::Reader data);

kj::Duration ToKj(Duration duration);

}  // namespace bramleyspoke
