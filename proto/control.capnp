@0x9c44d2a6e07b1f35;

# Messages between control and its members (entries, agents, sidecars) and
# operators.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");
using Common = import "common.capnp";

struct BackendInfo {
  className @0 :Text;
  service @1 :Text;
  group @2 :Text;
  rank @3 :UInt32;
  incarnation @4 :UInt64;
  window @5 :UInt64;
  healthy @6 :Bool;
  models @7 :List(Text);
  slots @8 :UInt32;
  version @9 :Text;
}

struct MemberInfo {
  name @0 :Text;
  role @1 :UInt8;
  incarnation @2 :UInt64;
  address @3 :Text;
  region @4 :Text;
  dataCenter @5 :Text;
  leaving @6 :Bool;
  backend @7 :BackendInfo;
  # Negative: unknown.
  coldLeftMs @8 :Int64 = -1;
}

struct SessionHello {
  info @0 :MemberInfo;
  revision @1 :UInt64;
  # The member has dropped messages of this link, from before the hello.
  resend @2 :Bool;
}

struct SessionHeartbeat {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  ready @2 :Bool;
}

struct SessionAck {
  sequence @0 :UInt64;
  term @1 :UInt64;
  fencingIndex @2 :UInt64;
  leaseMs @3 :Int64;
  revision @4 :UInt64;
}

struct SessionGoodbye {
}

struct NotLeader {
  leaderName @0 :Text;
  leaderAddress @1 :Text;
}

struct ConfigObject {
  kind @0 :Text;
  name @1 :Text;
  body @2 :Text;
}

struct ObjectName {
  kind @0 :Text;
  name @1 :Text;
}

struct ConfigUpdate {
  baseRevision @0 :UInt64;
  revision @1 :UInt64;
  changed @2 :List(ConfigObject);
  removed @3 :List(ObjectName);
}

struct EndedEvacuation {
  dataCenter @0 :Text;
  # Log index of the order that ended it.
  index @1 :UInt64;
  # Time since it ended.
  ageMs @2 :Int64;
}

struct EvacuationList {
  # Log index of the last order that changed the list.
  index @0 :UInt64;
  dataCenters @1 :List(Text);
  ended @2 :List(EndedEvacuation);
}

struct MemberUpdate {
  full @0 :Bool;
  changed @1 :List(MemberInfo);
  removed @2 :List(Text);
  drained @3 :List(Text);
  evacuations @4 :EvacuationList;
  # Empty: as last sent.
  entryIds @5 :List(UInt64);
}

# Starts or ends the evacuation of a data centre.
struct EvacuationOrder {
  dataCenter @0 :Text;
  evacuated @1 :Bool;
}

struct QuarantineEntry {
  fingerprint @0 :Common.Digest128;
  state @1 :UInt8;
  crashes @2 :UInt32;
  sinceMs @3 :Int64;
  # A part of prompts, not a whole request.
  isPart @4 :Bool;
}

struct QuarantineUpdate {
  full @0 :Bool;
  changed @1 :List(QuarantineEntry);
  removed @2 :List(Common.Digest128);
}

struct ClaimTarget {
  attempt @0 :Common.Digest128;
  agent @1 :Text;
  backendIncarnation @2 :UInt64;
  window @3 :UInt64;
}

struct ClaimRequest {
  correlation @0 :UInt64;
  workspace @1 :Text;
  keyDigest @2 :Common.Digest128;
  bodyDigest @3 :Common.Digest128;
  keyCreatedMs @4 :Int64;
  target @5 :ClaimTarget;
}

struct ClaimMove {
  correlation @0 :UInt64;
  workspace @1 :Text;
  keyDigest @2 :Common.Digest128;
  fromAttempt @3 :Common.Digest128;
  to @4 :ClaimTarget;
}

struct ClaimOutcome {
  correlation @0 :UInt64;
  workspace @1 :Text;
  keyDigest @2 :Common.Digest128;
  attempt @3 :Common.Digest128;
  response @4 :RecordedResponse;
}

struct RecordedResponse {
  outcome @0 :UInt8;
  status @1 :UInt16;
  headers @2 :List(Common.Header);
  body @3 :Data;
  bodyDropped @4 :Bool;
}

struct ClaimReply {
  correlation @0 :UInt64;
  result @1 :UInt8;
  holder @2 :ClaimTarget;
  response @3 :RecordedResponse;
}

struct SuspectReport {
  agent @0 :Text;
  backendIncarnation @1 :UInt64;
  running @2 :List(Common.Digest128);
}

struct SuspectCleared {
  fingerprint @0 :Common.Digest128;
}

struct SuspectPart {
  fingerprint @0 :Common.Digest128;
  # Whether a server has begun to answer a prompt with this part.
  answered @1 :Bool;
}

# A request that a server had not begun to answer when it crashed.
struct SuspectRequest {
  fingerprint @0 :Common.Digest128;
  parts @1 :List(SuspectPart);
}

struct CrashReport {
  # Digest of the server's name and incarnation.
  id @0 :Common.Digest128;
  # Time since the crash.
  ageMs @1 :Int64;
  suspects @2 :List(SuspectRequest);
}

struct CrashReports {
  crashes @0 :List(CrashReport);
}

struct BegunAnswer {
  # Of a request or of a part of its prompt.
  fingerprint @0 :Common.Digest128;
  # Time since the latest answer began.
  ageMs @1 :Int64;
}

struct AnswersBegun {
  answers @0 :List(BegunAnswer);
}

struct ServerCrash {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct ExpertMap {
  experts @0 :UInt32;
  ranks @1 :UInt32;
  layers @2 :UInt32;
  # Number of slots of each rank per layer. `slots` has the expert in each slot,
  # by layer, rank and slot.
  slotsPerRank @3 :UInt32;
  slots @4 :List(UInt16);
}

struct Order {
  orderId @0 :UInt64;
  term @1 :UInt64;
  index @2 :UInt64;
  kind @3 :UInt8;
  group @4 :Text;
  generation @5 :UInt64;
  epoch @6 :UInt64;
  step @7 :UInt64;
  commit @8 :Bool;
  name @9 :Text;
  version @10 :Text;
  map @11 :ExpertMap;
}

struct OrderResult {
  orderId @0 :UInt64;
  term @1 :UInt64;
  index @2 :UInt64;
  result @3 :UInt8;
  step @4 :UInt64;
  message @5 :Text;
}

struct GroupReport {
  group @0 :Text;
  generation @1 :UInt64;
  rank @2 :UInt32;
  backendIncarnation @3 :UInt64;
  step @4 :UInt64;
  mapEpoch @5 :UInt64;
  stagedEpoch @6 :UInt64;
  stepTimeUs @7 :UInt32;
  # Tokens per layer and expert since the last report, flattened; may be empty.
  expertTokens @8 :List(UInt32);
}

# State of a rank whose group the platform forms, sent by the rank's sidecar.
struct RankStatus {
  service @0 :Text;
  group @1 :Text;
  # Number that the platform gives to this formation of the group.
  formation @2 :UInt64;
  rank @3 :UInt32;
  ranks @4 :UInt32;
  open @5 :Bool;
  step @6 :UInt64;
  mapVersion @7 :UInt64;
  # 0: none.
  preparedVersion @8 :UInt64;
  armedVersion @9 :UInt64;
  armedStep @10 :UInt64;
  # 0: none.
  heldStep @11 :UInt64;
  # Tokens per set and expert in the last window, as varints; may be empty.
  expertTokens @12 :Data;
  # Experts of this rank by set, in the map mapVersion; may be empty.
  experts @13 :List(List(UInt16));
  # Highest coordinator term that the sidecar has received.
  term @14 :UInt64;
  # Address of the rank's server.
  server @15 :Text;
  # As expertTokens, but packed (see wire/packed_counts.h).
  packedTokens @16 :Data;
  # Step of the rank when the window of the tokens began.
  firstStep @17 :UInt64;
  # Time that the rank takes relative to a healthy one, in thousandths; 0:
  # unknown.
  pace @18 :UInt32;
  # The sidecar knows the whole placement of this map version; 0: none.
  placementVersion @19 :UInt64;
  # Step of the rank when the window of the tokens ended.
  lastStep @20 :UInt64;
}

struct RankOrder {
  kind @0 :UInt8;
  term @1 :UInt64;
  formation @2 :UInt64;
  version @3 :UInt64;
  step @4 :UInt64;
  # By set and rank, as varints; only to prepare.
  placement @5 :Data;
  # If not 0, the placement is that of this version with `edits` applied.
  baseVersion @6 :UInt64;
  # Changed lists, as varints (see wire/placement_edits.h).
  edits @7 :Data;
  # Digest of the resulting placement.
  placementDigest @8 :UInt64;
}

# Reports that a rank is present and whether it has a coordinator.
struct RankPresence {
  service @0 :Text;
  group @1 :Text;
  rank @2 :UInt32;
  ranks @3 :UInt32;
  # Highest coordinator term that the sidecar has received.
  term @4 :UInt64;
  # Whether the link to the coordinator is up, or went down within 1 s.
  served @5 :Bool;
}

# Dimensions and limits of a group's expert placement.
struct SpreadShape {
  sets @0 :UInt32;
  experts @1 :UInt32;
  slots @2 :UInt32;
  spareSlots @3 :UInt32;
  copyUs @4 :UInt64;
}

# The coordinator of a group. The term increases with each grant.
struct CoordinatorGrant {
  group @0 :Text;
  term @1 :UInt64;
  name @2 :Text;
  address @3 :Text;
  # Null while no configuration defines it.
  shape @4 :SpreadShape;
  # Incarnation of the coordinator's process; a later one has no grant.
  incarnation @5 :UInt64;
}

struct PublishRequest {
  baseRevision @0 :UInt64;
  operationId @1 :Text;
  changed @2 :List(ConfigObject);
  removed @3 :List(ObjectName);
  # `changed` is the whole set: every other object is removed.
  whole @4 :Bool;
}

struct TimelineFilter {
  requestId @0 :Text;
  group @1 :Text;
  server @2 :Text;
  revision @3 :UInt64;
  limit @4 :UInt32;
}

struct TimelineEvent {
  hlc @0 :UInt64;
  process @1 :Text;
  kind @2 :Text;
  requestId @3 :Text;
  group @4 :Text;
  server @5 :Text;
  revision @6 :UInt64;
  detail @7 :Text;
}

# A complete configuration in the operator's format; the highest version wins.
struct Document {
  version @0 :UInt64;
  body @1 :Data;
}

struct ServerReport {
  info @0 :MemberInfo;
  sequence @1 :UInt64;
  gone @2 :Bool;
}

struct AdminRequest {
  correlation @0 :UInt64;
  union {
    publish @1 :PublishRequest;
    getConfig @2 :Void;
    getStatus @3 :Void;
    getHistory @4 :Void;
    drain :group {
      name @5 :Text;
      drained @6 :Bool;
    }
    getGroups @7 :Void;
    getQuarantine @8 :Void;
    releaseQuarantine @9 :Common.Digest128;
    getMembers @10 :Void;
    addReplica :group {
      name @11 :Text;
      address @12 :Text;
    }
    removeReplica @13 :Text;
    timeline @14 :TimelineFilter;
    rebalance @15 :Text;
    publishDocument @16 :Document;
    getDocument @17 :Void;
    reportServer @18 :ServerReport;
    evacuate @19 :EvacuationOrder;
  }
}

struct AdminReply {
  correlation @0 :UInt64;
  result @1 :UInt8;
  code @2 :Text;
  message @3 :Text;
  json @4 :Text;
  events @5 :List(TimelineEvent);
}

struct ControlMessage {
  union {
    sessionHello @0 :SessionHello;
    sessionHeartbeat @1 :SessionHeartbeat;
    sessionAck @2 :SessionAck;
    sessionGoodbye @3 :SessionGoodbye;
    notLeader @4 :NotLeader;
    configUpdate @5 :ConfigUpdate;
    memberUpdate @6 :MemberUpdate;
    quarantineUpdate @7 :QuarantineUpdate;
    claimRequest @8 :ClaimRequest;
    claimMove @9 :ClaimMove;
    claimOutcome @10 :ClaimOutcome;
    claimReply @11 :ClaimReply;
    suspectReport @12 :SuspectReport;
    suspectCleared @13 :SuspectCleared;
    order @14 :Order;
    orderResult @15 :OrderResult;
    groupReport @16 :GroupReport;
    adminRequest @17 :AdminRequest;
    adminReply @18 :AdminReply;
    rankStatus @19 :RankStatus;
    rankOrder @20 :RankOrder;
    rankPresence @21 :RankPresence;
    coordinatorGrant @22 :CoordinatorGrant;
    crashReports @23 :CrashReports;
    answersBegun @24 :AnswersBegun;
    serverCrash @25 :ServerCrash;
  }
}
