@0xe3f90b8c5d1a7742;

# Messages between an entry and an agent.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");
using Common = import "common.capnp";

struct Submit {
  attempt @0 :Common.Digest128;
  requestId @1 :Text;
  kind @2 :UInt8;
  backendIncarnation @3 :UInt64;
  window @4 :UInt64;
  claimed @5 :Bool;
  priority @6 :UInt8;
  deadlineMs @7 :Int64;
  workspace @8 :Text;
  model @9 :Text;
  adapter @10 :Text;
  method @11 :Text;
  target @12 :Data;
  headers @13 :List(Common.Header);
  body @14 :Data;
  resumeOffset @15 :UInt64;
  resumeText @16 :Data;
  fingerprint @17 :Common.Digest128;
  isolated @18 :Bool;
}

struct Cancel {
  attempt @0 :Common.Digest128;
}

struct Query {
  attempt @0 :Common.Digest128;
  backendIncarnation @1 :UInt64;
  window @2 :UInt64;
}

struct Attach {
  attempt @0 :Common.Digest128;
  offset @1 :UInt64;
}

struct Ack {
  attempt @0 :Common.Digest128;
  offset @1 :UInt64;
}

struct AttemptState {
  attempt @0 :Common.Digest128;
  state @1 :UInt8;
}

struct Head {
  attempt @0 :Common.Digest128;
  status @1 :UInt16;
  headers @2 :List(Common.Header);
}

struct Chunk {
  attempt @0 :Common.Digest128;
  offset @1 :UInt64;
  tokenCount @2 :UInt32;
  data @3 :Data;
}

struct Finish {
  attempt @0 :Common.Digest128;
  endOffset @1 :UInt64;
  reason @2 :Text;
  promptTokens @3 :UInt32;
  completionTokens @4 :UInt32;
  cachedTokens @5 :UInt32;
}

struct Refused {
  attempt @0 :Common.Digest128;
  reason @1 :UInt8;
  retryAfterMs @2 :Int64;
}

struct Failed {
  attempt @0 :Common.Digest128;
  reason @1 :UInt8;
  outcome @2 :UInt8;
  ranBeside @3 :List(Common.Digest128);
}

struct LoadReport {
  queued @0 :UInt32;
  running @1 :UInt32;
  slots @2 :UInt32;
  kvUsedTokens @3 :UInt64;
  kvTotalTokens @4 :UInt64;
  stepTimeUs @5 :UInt32;
  tokensPerS @6 :UInt32;
  ageMs @7 :Int64;
}

struct CacheHint {
  sequence @0 :UInt64;
  added @1 :List(UInt64);
  removed @2 :List(UInt64);
  reset @3 :Bool;
}

struct AgentState {
  name @0 :Text;
  backendIncarnation @1 :UInt64;
  window @2 :UInt64;
  healthy @3 :Bool;
  leaving @4 :Bool;
  accepting @5 :Bool;
  models @6 :List(Text);
}

struct WorkMessage {
  union {
    submit @0 :Submit;
    cancel @1 :Cancel;
    query @2 :Query;
    attach @3 :Attach;
    ack @4 :Ack;
    attemptState @5 :AttemptState;
    head @6 :Head;
    chunk @7 :Chunk;
    finish @8 :Finish;
    refused @9 :Refused;
    failed @10 :Failed;
    loadReport @11 :LoadReport;
    cacheHint @12 :CacheHint;
    agentState @13 :AgentState;
  }
}
