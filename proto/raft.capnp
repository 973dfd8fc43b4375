@0xa96b1f7d3c5e8204;

# Messages between control replicas, and records of the log and of snapshots.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");

struct Replica {
  name @0 :Text;
  address @1 :Text;
  identity @2 :UInt64;
  voter @3 :Bool;
  promoteWhenReady @4 :Bool;
  castingVote @5 :Bool;
}

struct ReplicaList {
  replicas @0 :List(Replica);
}

struct LogEntry {
  term @0 :UInt64;
  index @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct VoteRequest {
  term @0 :UInt64;
  preVote @1 :Bool;
  transfer @2 :Bool;
  voterIdentity @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  knownLosses @6 :UInt32;
}

struct VoteReply {
  term @0 :UInt64;
  preVote @1 :Bool;
  granted @2 :Bool;
  identity @3 :UInt64;
  askedIdentity @4 :UInt64;
  knownLosses @5 :UInt32;
}

struct AppendRequest {
  term @0 :UInt64;
  round @1 :UInt64;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  commitIndex @4 :UInt64;
  entries @5 :List(LogEntry);
  receiverIdentity @6 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  identity @1 :UInt64;
  round @2 :UInt64;
  success @3 :Bool;
  matchIndex @4 :UInt64;
  rejectedIndex @5 :UInt64;
  hintIndex @6 :UInt64;
  askedIdentity @7 :UInt64;
  leaving @8 :Bool;
}

struct SnapshotChunk {
  term @0 :UInt64;
  round @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  replicas @4 :List(Replica);
  totalBytes @5 :UInt64;
  checksum @6 :UInt64;
  offset @7 :UInt64;
  data @8 :Data;
}

struct SnapshotReply {
  term @0 :UInt64;
  identity @1 :UInt64;
  round @2 :UInt64;
  lastIndex @3 :UInt64;
  nextOffset @4 :UInt64;
}

struct TimeoutNow {
  term @0 :UInt64;
}

struct RaftMessage {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    snapshotChunk @4 :SnapshotChunk;
    snapshotReply @5 :SnapshotReply;
    timeoutNow @6 :TimeoutNow;
  }
}
