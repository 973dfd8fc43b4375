#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "libwisteriaroute/control/control_state.h"
#include "libwisteriaroute/control/record_fields.h"

namespace wisteriaroute::control {

namespace {

static_assert(sizeof(base::digest128) == 16);

std::string_view Bytes(const std::vector<base::digest128>& digests) {
  return {reinterpret_cast<const char*>(digests.data()),
          digests.size() * sizeof(base::digest128)};
}

std::vector<base::digest128> Digests(capnp::Data::Reader bytes) {
  std::vector<base::digest128> digests(bytes.size() / sizeof(base::digest128));
  if (!digests.empty()) {
    std::memcpy(digests.data(), bytes.begin(),
                digests.size() * sizeof(base::digest128));
  }
  return digests;
}

void WriteConfig(const config_history& from, proto::ControlState::Builder to) {
  to.setRevision(from.revision);
  const std::vector<wire::config_object> objects = Objects(from);
  wire::WriteList(objects, to.initObjects(wire::Count(objects)));
  wire::Write(from.digest, to.initSetDigest());
  auto deltas = to.initDeltas(wire::Count(from.deltas));
  for (unsigned i = 0; i < from.deltas.size(); ++i) {
    const revision_delta& delta = from.deltas[i];
    deltas[i].setRevision(delta.revision);
    deltas[i].setOperationId(delta.operation_id);
    deltas[i].setTimeMs(delta.time_ms);
    wire::WriteList(delta.changed,
                    deltas[i].initChanged(wire::Count(delta.changed)));
    wire::WriteList(delta.removed,
                    deltas[i].initRemoved(wire::Count(delta.removed)));
  }
  auto operations = to.initOperations(wire::Count(from.operations));
  for (unsigned i = 0; i < from.operations.size(); ++i) {
    operations[i].setOperationId(from.operations[i].operation_id);
    wire::Write(from.operations[i].content_digest,
                operations[i].initContentDigest());
    operations[i].setRevision(from.operations[i].revision);
  }
}

config_history ReadConfig(proto::ControlState::Reader from) {
  config_history config{.revision = from.getRevision(),
                        .digest = wire::Read(from.getSetDigest())};
  for (wire::config_object& object :
       wire::ReadList<wire::config_object>(from.getObjects())) {
    config.objects[{object.kind, object.name}] = std::move(object.body);
  }
  for (const auto delta : from.getDeltas()) {
    config.deltas.push_back(
        {.revision = delta.getRevision(),
         .operation_id = delta.getOperationId(),
         .time_ms = delta.getTimeMs(),
         .changed = wire::ReadList<wire::config_object>(delta.getChanged()),
         .removed = wire::ReadList<wire::object_name>(delta.getRemoved())});
  }
  for (const auto operation : from.getOperations()) {
    config.operations.push_back(
        {.operation_id = operation.getOperationId(),
         .content_digest = wire::Read(operation.getContentDigest()),
         .revision = operation.getRevision()});
  }
  return config;
}

void WriteWorkspace(const std::string& name,
                    const workspace_claims& from,
                    proto::WorkspaceClaims::Builder to) {
  to.setName(name);
  to.setKeptRan(wire::AsData(Bytes(from.expired.ran)));
  to.setKeptUnknown(wire::AsData(Bytes(from.expired.unknown)));
  // Sorted, so that equal states have identical snapshots.
  std::vector<base::digest128> keys;
  keys.reserve(from.claims.size());
  for (const auto& [key, held] : from.claims) {
    keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  auto claims = to.initClaims(wire::Count(keys));
  for (unsigned i = 0; i < keys.size(); ++i) {
    const claim& held = from.claims.at(keys[i]);
    wire::Write(keys[i], claims[i].initKey());
    wire::Write(held.body_digest, claims[i].initBody());
    claims[i].setCreatedMs(held.created_ms);
    claims[i].setClaimedMs(held.claimed_ms);
    wire::WriteFields(held.target, claims[i].initTarget());
    if (held.response) {
      wire::WriteFields(*held.response, claims[i].initResponse());
    }
  }
}

claim ReadClaim(proto::ClaimRecord::Reader from) {
  claim held{.body_digest = wire::Read(from.getBody()),
             .created_ms = from.getCreatedMs(),
             .claimed_ms = from.getClaimedMs(),
             .target = wire::ReadFields(from.getTarget())};
  if (from.hasResponse()) {
    held.response = wire::ReadFields(from.getResponse());
  }
  return held;
}

void ReadWorkspace(proto::WorkspaceClaims::Reader from, claim_table& table) {
  const std::string name = from.getName();
  workspace_claims& workspace = table.workspaces[name];
  workspace.expired = {.ran = Digests(from.getKeptRan()),
                       .unknown = Digests(from.getKeptUnknown())};
  workspace.claims.reserve(from.getClaims().size());
  for (const auto record : from.getClaims()) {
    const base::digest128 key = wire::Read(record.getKey());
    claim held = ReadClaim(record);
    if (held.created_ms == 0) {
      ++workspace.live_undated;
    }
    table.by_time.insert(
        {held.created_ms != 0 ? held.created_ms : held.claimed_ms,
         {name, key}});
    workspace.claims.emplace(key, std::move(held));
  }
}

void WriteGroup(const std::string& name,
                const group_state& from,
                proto::GroupRecord::Builder to) {
  to.setName(name);
  to.setGeneration(from.generation);
  WriteRanks(from.ranks, to.initRanks(wire::Count(from.ranks)));
  to.setPhase(static_cast<std::uint8_t>(from.phase));
  to.setOrderIndex(from.order_index);
  to.setEpoch(from.epoch);
  to.setNextEpoch(from.next_epoch);
  wire::WriteFields(from.map, to.initMap());
  to.setPending(from.change.has_value());
  if (from.change) {
    to.setChangeEpoch(from.change->epoch);
    wire::WriteFields(from.change->map, to.initChangeMap());
  }
  to.setStep(from.step);
  to.setDecidedEpoch(from.decided_epoch);
  to.setCommit(from.commit);
}

group_state ReadGroup(proto::GroupRecord::Reader from) {
  group_state group{.generation = from.getGeneration(),
                    .ranks = ReadRanks(from.getRanks()),
                    .phase = wire::ReadEnum<group_phase>(from.getPhase(), 5),
                    .order_index = from.getOrderIndex(),
                    .epoch = from.getEpoch(),
                    .map = wire::ReadFields(from.getMap()),
                    .next_epoch = from.getNextEpoch(),
                    .step = from.getStep(),
                    .decided_epoch = from.getDecidedEpoch(),
                    .commit = from.getCommit()};
  if (from.getPending()) {
    group.change = {.epoch = from.getChangeEpoch(),
                    .map = wire::ReadFields(from.getChangeMap())};
  }
  return group;
}

void WriteQuarantine(const quarantine_table& from,
                     proto::ControlState::Builder to) {
  auto entries = to.initQuarantine(wire::Count(from.entries));
  unsigned position = 0;
  for (const auto& [fingerprint, entry] : from.entries) {
    wire::WriteFields(entry, entries[position++]);
  }
  auto reports = to.initSuspectReports(wire::Count(from.reports));
  for (unsigned i = 0; i < from.reports.size(); ++i) {
    wire::Write(from.reports[i], reports[i]);
  }
  auto crashes = to.initCrashes(wire::Count(from.crashes));
  for (unsigned i = 0; i < from.crashes.size(); ++i) {
    const policy::crash& crash = from.crashes[i];
    wire::Write(crash.id, crashes[i].initId());
    crashes[i].setAtMs(crash.at_ms);
    wire::WriteList(crash.suspects,
                    crashes[i].initSuspects(wire::Count(crash.suspects)));
  }
}

quarantine_table ReadQuarantine(proto::ControlState::Reader from) {
  quarantine_table table;
  for (const auto record : from.getQuarantine()) {
    const wire::quarantine_entry entry = wire::ReadFields(record);
    table.entries[entry.fingerprint] = entry;
  }
  for (const auto report : from.getSuspectReports()) {
    table.reports.push_back(wire::Read(report));
  }
  for (const auto crash : from.getCrashes()) {
    table.crashes.push_back({.id = wire::Read(crash.getId()),
                             .at_ms = crash.getAtMs(),
                             .suspects = wire::ReadList<wire::suspect_request>(
                                 crash.getSuspects())});
  }
  return table;
}

void WriteEvacuations(const evacuation_table& from,
                      proto::EvacuationTable::Builder to) {
  to.setIndex(from.index);
  auto names = to.initDataCenters(wire::Count(from.data_centers));
  unsigned position = 0;
  for (const std::string& name : from.data_centers) {
    names.set(position++, name);
  }
  auto ended = to.initEnded(wire::Count(from.ended));
  position = 0;
  for (const auto& [name, end] : from.ended) {
    ended[position].setDataCenter(name);
    ended[position].setIndex(end.index);
    ended[position++].setTimeMs(end.time_ms);
  }
}

evacuation_table ReadEvacuations(proto::EvacuationTable::Reader from) {
  evacuation_table table{.index = from.getIndex()};
  for (const auto name : from.getDataCenters()) {
    table.data_centers.emplace(name.cStr(), name.size());
  }
  for (const auto end : from.getEnded()) {
    table.ended[end.getDataCenter()] = {.index = end.getIndex(),
                                        .time_ms = end.getTimeMs()};
  }
  return table;
}

void WriteDepartures(const departure_table& from,
                     proto::ControlState::Builder to) {
  auto records = to.initDepartures(wire::Count(from.runs));
  unsigned position = 0;
  for (const auto& [run, time_ms] : from.runs) {
    records[position].setName(run.first);
    records[position].setIncarnation(run.second);
    records[position++].setTimeMs(time_ms);
  }
}

departure_table ReadDepartures(proto::ControlState::Reader from) {
  departure_table table;
  for (const auto record : from.getDepartures()) {
    table.runs[{record.getName(), record.getIncarnation()}] =
        record.getTimeMs();
  }
  return table;
}

void WriteState(const control_state& from, proto::ControlState::Builder to) {
  to.setTimeMs(from.time_ms);
  WriteConfig(from.config, to);
  to.setHorizonMs(from.claims.horizon_ms);
  auto workspaces = to.initWorkspaces(wire::Count(from.claims.workspaces));
  unsigned position = 0;
  for (const auto& [name, workspace] : from.claims.workspaces) {
    WriteWorkspace(name, workspace, workspaces[position++]);
  }
  auto drained = to.initDrained(wire::Count(from.drained));
  position = 0;
  for (const std::string& name : from.drained) {
    drained.set(position++, name);
  }
  WriteEvacuations(from.evacuations, to.initEvacuations());
  WriteDepartures(from.departures, to);
  WriteQuarantine(from.quarantine, to);
  auto groups = to.initGroups(wire::Count(from.groups.groups));
  position = 0;
  for (const auto& [name, group] : from.groups.groups) {
    WriteGroup(name, group, groups[position++]);
  }
  auto grants = to.initGrants(wire::Count(from.coordinators));
  position = 0;
  for (const auto& [group, held] : from.coordinators) {
    grants[position].setGroup(group);
    grants[position].setName(held.name);
    grants[position].setAddress(held.address);
    grants[position].setIncarnation(held.incarnation);
    grants[position++].setTerm(held.term);
  }
}

control_state ReadState(proto::ControlState::Reader from) {
  control_state state{.time_ms = from.getTimeMs(), .config = ReadConfig(from)};
  state.claims.horizon_ms = from.getHorizonMs();
  for (const auto workspace : from.getWorkspaces()) {
    ReadWorkspace(workspace, state.claims);
  }
  for (const auto name : from.getDrained()) {
    state.drained.emplace(name.cStr(), name.size());
  }
  state.evacuations = ReadEvacuations(from.getEvacuations());
  state.departures = ReadDepartures(from);
  state.quarantine = ReadQuarantine(from);
  for (const auto group : from.getGroups()) {
    state.groups.groups[group.getName()] = ReadGroup(group);
  }
  for (const auto grant : from.getGrants()) {
    state.coordinators[grant.getGroup()] = {
        .name = grant.getName(),
        .address = grant.getAddress(),
        .incarnation = grant.getIncarnation(),
        .term = grant.getTerm()};
  }
  return state;
}

}  // namespace

std::string EncodeState(const control_state& state) {
  capnp::MallocMessageBuilder builder;
  WriteState(state, builder.initRoot<proto::ControlState>());
  return wire::Serialize(builder);
}

control_state DecodeState(std::string_view bytes) {
  const wire::message_bytes copy(bytes);
  try {
    capnp::FlatArrayMessageReader reader(copy.words(), RecordReaderOptions());
    return ReadState(reader.getRoot<proto::ControlState>());
  } catch (const kj::Exception& exception) {
    throw wire::malformed_message(exception.getDescription().cStr());
  }
}

}  // namespace wisteriaroute::control
