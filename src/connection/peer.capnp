@0xd7c1f0a8b35e4921;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bramleyspoke::wire");

# One daemon's state as gossip carries it. The highest version wins; for equal
# versions, the highest state.
struct Member {
  peerAddress @0 :Text;
  callerAddress @1 :Text;
  incarnation @2 :UInt64;
  state @3 :UInt8;
  failureDomain @4 :Text;
  region @5 :Text;
  # Raised only by the daemon itself: to refute an update from another daemon,
  # after a pause of its process, and when it starts to leave.
  version @6 :UInt64;
}

# Crash evidence for one service and request fingerprint.
struct Evidence {
  service @0 :Text;
  fingerprint @1 :UInt64;
  crashes @2 :UInt32;
  # Identifies the evidence.
  id @3 :UInt64;
  # Time since the crashes.
  ageMs @4 :UInt32;
  # Whether a leaf has answered the request since.
  isSurvived @5 :Bool;
  # Fingerprint of all requests that differ in their query only; 0 if not known.
  resource @6 :UInt64;
}

# Drain notice of a leaf.
struct Drain {
  leaf @0 :Text;
  incarnation @1 :Text;
}

struct Gossip {
  sender @0 :Member;
  members @1 :List(Member);
  # The manifest generation in use at the sender, the hash of its root part, and
  # the time since the store confirmed it, in milliseconds.
  generation @2 :UInt64;
  root @3 :Text;
  confirmedAgoMs @4 :UInt32;
  evidence @5 :List(Evidence);
  drains @6 :List(Drain);
  # Whether the reply should contain the whole member list.
  wantAll @7 :Bool;
  # Anti-entropy: members are distributed by hash over bucketCount buckets (a
  # power of two; 0: no digest). The digest covers the sender's members in one
  # bucket; a receiver whose digest differs replies with members of that bucket.
  bucketCount @8 :UInt32;
  bucket @9 :UInt32;
  bucketDigest @10 :UInt64;
}

# Delegation of some shards of a caller's fan-out, or of a whole request to one
# service, to a peer that is nearer to the leafs or that reaches them.
struct ShardQuery {
  requestId @0 :Text;
  method @1 :Text;
  target @2 :Text;
  # One line per header: name, colon, value.
  headers @3 :Text;
  body @4 :Data;
  route @5 :Text;
  # Shard names, separated by spaces.
  shards @6 :Text;
  maxAttempts @7 :UInt32;
  resultLimit @8 :UInt32;
  priority @9 :UInt32;
  # Milliseconds until the caller's deadline, and until the peer should respond
  # with the shards covered by then.
  deadlineMs @10 :UInt32;
  answerByMs @11 :UInt32;
  # Whether the query is for shards that an earlier response left pending. The
  # query then does not carry the caller's request or its route.
  isContinuation @12 :Bool;
  # By shard, whether the querying daemon may also send it to leafs.
  bypassable @13 :List(Bool);
  # Set if a whole request to one leaf of this service is handed over; shards is
  # then empty.
  service @14 :Text;
  isIdempotent @15 :Bool;
  # Identifies the delegation at the querying daemon, together with the request
  # id; a continuation has its delegation's.
  delegation @16 :UInt64;
  # By shard, whether the request was credited to the retry budget before, here
  # or at another peer; a request is credited once.
  credited @17 :List(Bool);
  # When the query was written, by the sender's clock that also runs while its
  # VM is suspended; 0 if not known. Tells how long it waited on the way.
  sentAtUs @18 :Int64;
}

# The last stall of a leaf near the peer.
struct Stall {
  # Index of the leaf's shard in the query's shard list, and of the leaf among
  # the shard's leafs, sorted by id.
  shard @0 :UInt16;
  leaf @1 :UInt16;
  endedAgoMs @2 :UInt16;
  lengthMs @3 :UInt16;
}

# A shard that the response does not cover.
struct Uncovered {
  # Index in the query's shard list.
  place @0 :UInt16;
  # Number of leafs that may have executed the request.
  runs @1 :UInt16;
  # Whether the shard is still queried; a continuation can get its response.
  isPending @2 :Bool;
  # Whether it may have reached a leaf, which may have rejected it.
  isSent @3 :Bool;
}

struct ShardAnswer {
  # Indexes in the query's shard list of the shards that the response covers.
  covered @0 :List(UInt16);
  headers @1 :Text;
  body @2 :Data;
  servedInUs @3 :UInt32;
  stalls @4 :List(Stall);
  uncovered @5 :List(Uncovered);
  # Version of the peer's routes; 0 if the store is unavailable to it.
  version @6 :UInt64;
  # Status of the leaf's response to a whole request.
  status @7 :UInt16;
  # Whether the peer reaches no leafs.
  isCutOff @8 :Bool;
}

# Registration of a leaf.
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

# Registration of a daemon.
struct Daemon {
  key @0 :Text;
  address @1 :Text;
  peer @2 :Text;
  failureDomain @3 :Text;
  region @4 :Text;
  # Processor capacity, in thousandths of a core.
  processor @5 :UInt32;
  # Whether the daemon reaches no leafs.
  isCutOff @6 :Bool;
}

# A request that is refused because it crashes leafs.
struct Suspect {
  content @0 :UInt64;
  # Empty if the request is refused at all services.
  service @1 :Text;
}

# What a daemon knows of the store's contents.
struct Knowledge {
  # In the store's format; empty if the daemon has none.
  routes @0 :Data;
  leafs @1 :List(Leaf);
  daemons @2 :List(Daemon);
  suspects @3 :List(Suspect);
}

# A change of one key of the store.
struct StoreEvent {
  key @0 :Text;
  value @1 :Data;
  isRemoved @2 :Bool;
}

enum WatchEnd {
  changes @0;
  # The peer does not know all changes after the revision.
  unknownRevision @1;
  # The peer no longer follows the store.
  interrupted @2;
}

# The store's changes after a revision.
struct StoreChanges {
  end @0 :WatchEnd;
  events @1 :List(StoreEvent);
  # Revision that the events lead to.
  revision @2 :Int64;
  # Whether the peer knows of later changes.
  hasMore @3 :Bool;
}

interface Peer {
  gossip @0 (message :Gossip) -> (reply :Gossip);
  # Pings another daemon on behalf of one that could not reach it.
  pingVia @1 (target :Text) -> (alive :Bool);
  # Forwards a caller's request to the daemon that holds the service or issued
  # the request id. Both bodies are the caller protocol's JSON.
  forward @2 (body :Data, deadlineMs :UInt32) -> (status :UInt16, body :Data);
  # Returns manifest parts by hash; absent ones are empty.
  fetchParts @3 (hashes :List(Text)) -> (parts :List(Data));
  # Queries leafs near the peer. Cancelling the call cancels the query there.
  queryShards @4 (query :ShardQuery) -> (answer :ShardAnswer);
  # Returns the peer's knowledge to a daemon that starts while the store is
  # unavailable.
  fetchKnowledge @5 () -> (knowledge :Knowledge);
  # Waits for changes of the store after a revision of the given era.
  watchStore @6 (era :UInt64, revision :Int64, waitMs :UInt32)
      -> (changes :StoreChanges);
}
