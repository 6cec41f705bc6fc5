@0xd7c1f0a8b35e4921;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bramleyspoke::wire");

# What daemons say of one daemon; the highest version wins, then the state.
struct Member {
  peerAddress @0 :Text;
  callerAddress @1 :Text;
  incarnation @2 :UInt64;
  state @3 :UInt8;
  failureDomain @4 :Text;
  region @5 :Text;
  # Raised by the daemon itself only, to refute what others say of it.
  version @6 :UInt64;
}

# Crash evidence against a request's fingerprint.
struct Evidence {
  service @0 :Text;
  fingerprint @1 :UInt64;
  crashes @2 :UInt32;
}

# A leaf that gave its drain word.
struct Drain {
  leaf @0 :Text;
  incarnation @1 :Text;
}

struct Gossip {
  sender @0 :Member;
  members @1 :List(Member);
  # The manifest generation in force at the sender, its root part and how long
  # ago the store confirmed it, in milliseconds.
  generation @2 :UInt64;
  root @3 :Text;
  confirmedAgoMs @4 :UInt32;
  evidence @5 :List(Evidence);
  drains @6 :List(Drain);
  # Asks for the whole member list in the reply.
  wantAll @7 :Bool;
  # Anti-entropy: digest of the sender's members whose hash falls into one of
  # bucketCount buckets (a power of two; 0: none given). A receiver whose own
  # digest differs sends its members of that bucket in the reply.
  bucketCount @8 :UInt32;
  bucket @9 :UInt32;
  bucketDigest @10 :UInt64;
}

# Shards of a caller's fan-out that stand near the peer.
struct ShardQuery {
  requestId @0 :Text;
  method @1 :Text;
  target @2 :Text;
  # Lines of a name, a colon and a value.
  headers @3 :Text;
  body @4 :Data;
  route @5 :Text;
  # Names, separated by spaces.
  shards @6 :Text;
  maxAttempts @7 :UInt32;
  resultLimit @8 :UInt32;
  priority @9 :UInt32;
  # Milliseconds until the caller gives up, and until what is there is wanted.
  deadlineMs @10 :UInt32;
  answerByMs @11 :UInt32;
  # Asks for what an earlier answer left pending; names no request again.
  isContinuation @12 :Bool;
}

# When a leaf near the peer last stalled.
struct Stall {
  # Place of its shard in the query's list, and of the leaf among the shard's
  # leafs by id.
  shard @0 :UInt16;
  leaf @1 :UInt16;
  endedAgoMs @2 :UInt16;
  lengthMs @3 :UInt16;
}

struct Uncovered {
  place @0 :UInt16;
  runs @1 :UInt16;
  isPending @2 :Bool;
}

struct ShardAnswer {
  # Places in the query's list of the shards that the answer covers.
  covered @0 :List(UInt16);
  headers @1 :Text;
  body @2 :Data;
  servedInUs @3 :UInt32;
  stalls @4 :List(Stall);
  uncovered @5 :List(Uncovered);
}

# A leaf as it registered itself.
struct Leaf {
  id @0 :Text;
  startedAtMs @1 :Int64;
  service @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  isDraining @6 :Bool;
  coldRemainingMs @7 :UInt32;
}

# A daemon as it registered itself.
struct Daemon {
  key @0 :Text;
  address @1 :Text;
  peer @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  # Of a core, in thousandths.
  processor @5 :UInt32;
}

# What a daemon knows from the store.
struct Knowledge {
  # As the store has them; empty if it knows none.
  routes @0 :Data;
  leafs @1 :List(Leaf);
  daemons @2 :List(Daemon);
}

interface Peer {
  gossip @0 (message :Gossip) -> (reply :Gossip);
  # Pings another daemon for one that could not reach it.
  pingVia @1 (target :Text) -> (alive :Bool);
  # A caller's request handed to the daemon that holds the service or issued
  # the id. Body and answer are the caller protocol's JSON.
  forward @2 (body :Data, deadlineMs :UInt32) -> (status :UInt16, body :Data);
  # Manifest parts by hash; absent ones come back empty.
  fetchParts @3 (hashes :List(Text)) -> (parts :List(Data));
  # Asks leafs near the peer; a query that is cancelled is dropped there.
  queryShards @4 (query :ShardQuery) -> (answer :ShardAnswer);
  # For a daemon that starts while the store is away.
  fetchKnowledge @5 () -> (knowledge :Knowledge);
}
