@0xe3b41c7f92d05a68;

# Commands in control's replicated log, and the snapshot of the resulting state.
# Later versions read both after an upgrade, so fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wisteriaroute::proto");
using Common = import "common.capnp";
using Control = import "control.capnp";

struct PublishCommand {
  baseRevision @0 :UInt64;
  operationId @1 :Text;
  contentDigest @2 :Common.Digest128;
  resultDigest @3 :Common.Digest128;
  validated @4 :Bool;
  changed @5 :List(Control.ConfigObject);
  removed @6 :List(Control.ObjectName);
}

struct ClaimCommand {
  request @0 :Control.ClaimRequest;
  # Limits from the leader's configuration.
  retentionMs @1 :Int64;
  maxUndatedKeys @2 :UInt64;
}

struct DrainCommand {
  name @0 :Text;
  drained @1 :Bool;
}

# A run of a backend server has said that it leaves or is gone.
struct DepartureCommand {
  name @0 :Text;
  # As the server reports it.
  incarnation @1 :UInt64;
}

struct GroupRank {
  agent @0 :Text;
  incarnation @1 :UInt64;
}

struct FormGroupCommand {
  group @0 :Text;
  generation @1 :UInt64;
  ranks @2 :List(GroupRank);
  map @3 :Control.ExpertMap;
}

struct StageMapCommand {
  group @0 :Text;
  generation @1 :UInt64;
  map @2 :Control.ExpertMap;
}

struct ArmMapCommand {
  group @0 :Text;
  generation @1 :UInt64;
  epoch @2 :UInt64;
  step @3 :UInt64;
}

struct DecideMapCommand {
  group @0 :Text;
  generation @1 :UInt64;
  epoch @2 :UInt64;
  step @3 :UInt64;
  commit @4 :Bool;
  # Whether an aborted change stays pending, to be armed for a later step.
  retry @5 :Bool;
}

# Makes a member the coordinator of a group; the entry's index is its term.
struct GrantCommand {
  group @0 :Text;
  name @1 :Text;
  address @2 :Text;
  # Term of the grant that it replaces; 0: none. The command has no effect if
  # another grant is current.
  replaces @3 :UInt64;
  # Incarnation of the member's process.
  incarnation @4 :UInt64;
}

struct Command {
  # The proposing leader's clock, Unix ms.
  wallMs @0 :Int64;
  # Incarnation of the proposing replica, and the proposal's number within it.
  proposer @1 :UInt64;
  proposal @2 :UInt64;
  union {
    # Advances the log's time and drops records older than this retention (ms).
    clockTick @3 :Int64;
    publish @4 :PublishCommand;
    claim @5 :ClaimCommand;
    claimMove @6 :Control.ClaimMove;
    claimOutcome @7 :Control.ClaimOutcome;
    drain @8 :DrainCommand;
    suspects @9 :Control.SuspectReport;
    suspectCleared @10 :Common.Digest128;
    release @11 :Common.Digest128;
    formGroup @12 :FormGroupCommand;
    stageMap @13 :StageMapCommand;
    armMap @14 :ArmMapCommand;
    decideMap @15 :DecideMapCommand;
    publishDocument @16 :Control.Document;
    grant @17 :GrantCommand;
    crashReports @18 :Control.CrashReports;
    answersBegun @19 :Control.AnswersBegun;
    evacuate @20 :Control.EvacuationOrder;
    departure @21 :DepartureCommand;
  }
}

struct RevisionDelta {
  revision @0 :UInt64;
  operationId @1 :Text;
  timeMs @2 :Int64;
  changed @3 :List(Control.ConfigObject);
  removed @4 :List(Control.ObjectName);
}

struct PublishOperation {
  operationId @0 :Text;
  contentDigest @1 :Common.Digest128;
  revision @2 :UInt64;
}

struct ClaimRecord {
  key @0 :Common.Digest128;
  body @1 :Common.Digest128;
  createdMs @2 :Int64;
  claimedMs @3 :Int64;
  target @4 :Control.ClaimTarget;
  # Null until the call has ended.
  response @5 :Control.RecordedResponse;
}

struct WorkspaceClaims {
  name @0 :Text;
  claims @1 :List(ClaimRecord);
  # Digests of 16 bytes each, sorted.
  keptRan @2 :Data;
  keptUnknown @3 :Data;
}

struct GroupRecord {
  name @0 :Text;
  generation @1 :UInt64;
  ranks @2 :List(GroupRank);
  phase @3 :UInt8;
  orderIndex @4 :UInt64;
  epoch @5 :UInt64;
  nextEpoch @6 :UInt64;
  map @7 :Control.ExpertMap;
  pending @8 :Bool;
  changeEpoch @9 :UInt64;
  changeMap @10 :Control.ExpertMap;
  step @11 :UInt64;
  decidedEpoch @12 :UInt64;
  commit @13 :Bool;
}

struct GrantRecord {
  group @0 :Text;
  name @1 :Text;
  address @2 :Text;
  term @3 :UInt64;
  incarnation @4 :UInt64;
}

struct CrashRecord {
  # Digest of the server's name and incarnation.
  id @0 :Common.Digest128;
  atMs @1 :Int64;
  suspects @2 :List(Control.SuspectRequest);
}

# The end of an evacuation, kept while servers may still be cold because of it.
struct EvacuationEnd {
  dataCenter @0 :Text;
  # Log index of the order that ended it.
  index @1 :UInt64;
  # Log time.
  timeMs @2 :Int64;
}

struct EvacuationTable {
  # Log index of the last order that changed the list.
  index @0 :UInt64;
  dataCenters @1 :List(Text);
  ended @2 :List(EvacuationEnd);
}

struct DepartureRecord {
  name @0 :Text;
  incarnation @1 :UInt64;
  # Log time.
  timeMs @2 :Int64;
}

struct ControlState {
  timeMs @0 :Int64;
  revision @1 :UInt64;
  objects @2 :List(Control.ConfigObject);
  setDigest @3 :Common.Digest128;
  deltas @4 :List(RevisionDelta);
  operations @5 :List(PublishOperation);
  horizonMs @6 :Int64;
  workspaces @7 :List(WorkspaceClaims);
  drained @8 :List(Text);
  quarantine @9 :List(Control.QuarantineEntry);
  suspectReports @10 :List(Common.Digest128);
  groups @11 :List(GroupRecord);
  grants @12 :List(GrantRecord);
  crashes @13 :List(CrashRecord);
  # Missing in snapshots of earlier versions: nothing is evacuated.
  evacuations @14 :EvacuationTable;
  # Missing in snapshots of earlier versions.
  departures @15 :List(DepartureRecord);
}
