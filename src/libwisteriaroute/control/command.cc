#include "libwisteriaroute/control/command.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "libwisteriaroute/control/record_fields.h"
#include "libwisteriaroute/wire/evacuation_fields.h"

namespace wisteriaroute::control {

namespace {

struct body_writer {
  proto::Command::Builder root;

  void operator()(const clock_tick& from) {
    root.setClockTick(from.retention_ms);
  }
  void operator()(const publish_command& from) {
    auto to = root.initPublish();
    to.setBaseRevision(from.base_revision);
    to.setOperationId(from.operation_id);
    wire::Write(from.content_digest, to.initContentDigest());
    wire::Write(from.result_digest, to.initResultDigest());
    to.setValidated(from.validated);
    wire::WriteList(from.changed, to.initChanged(wire::Count(from.changed)));
    wire::WriteList(from.removed, to.initRemoved(wire::Count(from.removed)));
  }
  void operator()(const wire::publish_document& from) {
    wire::WriteFields(from, root.initPublishDocument());
  }
  void operator()(const claim_command& from) {
    auto to = root.initClaim();
    wire::WriteFields(from.request, to.initRequest());
    to.setRetentionMs(from.limits.retention_ms);
    to.setMaxUndatedKeys(from.limits.max_undated_keys);
  }
  void operator()(const wire::claim_move& from) {
    wire::WriteFields(from, root.initClaimMove());
  }
  void operator()(const wire::claim_outcome& from) {
    wire::WriteFields(from, root.initClaimOutcome());
  }
  void operator()(const wire::drain_request& from) {
    auto to = root.initDrain();
    to.setName(from.name);
    to.setDrained(from.drained);
  }
  void operator()(const wire::suspect_report& from) {
    auto to = root.initSuspects();
    to.setAgent(from.agent);
    to.setBackendIncarnation(from.backend_incarnation);
    auto running = to.initRunning(wire::Count(from.running));
    for (unsigned i = 0; i < from.running.size(); ++i) {
      wire::Write(from.running[i], running[i]);
    }
  }
  void operator()(const wire::suspect_cleared& from) {
    wire::Write(from.fingerprint, root.initSuspectCleared());
  }
  void operator()(const wire::crash_reports& from) {
    wire::WriteFields(from, root.initCrashReports());
  }
  void operator()(const wire::answers_begun& from) {
    wire::WriteFields(from, root.initAnswersBegun());
  }
  void operator()(const wire::release_quarantine& from) {
    wire::Write(from.fingerprint, root.initRelease());
  }
  void operator()(const wire::evacuation_order& from) {
    wire::WriteFields(from, root.initEvacuate());
  }
  void operator()(const departure_command& from) {
    auto to = root.initDeparture();
    to.setName(from.name);
    to.setIncarnation(from.incarnation);
  }
  void operator()(const form_group_command& from) {
    auto to = root.initFormGroup();
    to.setGroup(from.group);
    to.setGeneration(from.generation);
    WriteRanks(from.ranks, to.initRanks(wire::Count(from.ranks)));
    wire::WriteFields(from.map, to.initMap());
  }
  void operator()(const stage_map_command& from) {
    auto to = root.initStageMap();
    to.setGroup(from.group);
    to.setGeneration(from.generation);
    wire::WriteFields(from.map, to.initMap());
  }
  void operator()(const arm_map_command& from) {
    auto to = root.initArmMap();
    to.setGroup(from.group);
    to.setGeneration(from.generation);
    to.setEpoch(from.epoch);
    to.setStep(from.step);
  }
  void operator()(const decide_map_command& from) {
    auto to = root.initDecideMap();
    to.setGroup(from.group);
    to.setGeneration(from.generation);
    to.setEpoch(from.epoch);
    to.setStep(from.step);
    to.setCommit(from.commit);
    to.setRetry(from.retry);
  }
  void operator()(const grant_command& from) {
    auto to = root.initGrant();
    to.setGroup(from.group);
    to.setName(from.name);
    to.setAddress(from.address);
    to.setReplaces(from.replaces);
    to.setIncarnation(from.incarnation);
  }
};

publish_command ReadBody(proto::PublishCommand::Reader from) {
  return {.base_revision = from.getBaseRevision(),
          .operation_id = from.getOperationId(),
          .content_digest = wire::Read(from.getContentDigest()),
          .result_digest = wire::Read(from.getResultDigest()),
          .validated = from.getValidated(),
          .changed = wire::ReadList<wire::config_object>(from.getChanged()),
          .removed = wire::ReadList<wire::object_name>(from.getRemoved())};
}

claim_command ReadBody(proto::ClaimCommand::Reader from) {
  return {.request = wire::ReadFields(from.getRequest()),
          .limits = {.retention_ms = from.getRetentionMs(),
                     .max_undated_keys = from.getMaxUndatedKeys()}};
}

wire::suspect_report ReadBody(proto::SuspectReport::Reader from) {
  wire::suspect_report report{
      .agent = from.getAgent(),
      .backend_incarnation = from.getBackendIncarnation()};
  for (const auto fingerprint : from.getRunning()) {
    report.running.push_back(wire::Read(fingerprint));
  }
  return report;
}

decide_map_command ReadBody(proto::DecideMapCommand::Reader from) {
  return {.group = from.getGroup(),
          .generation = from.getGeneration(),
          .epoch = from.getEpoch(),
          .step = from.getStep(),
          .commit = from.getCommit(),
          .retry = from.getRetry()};
}

grant_command ReadBody(proto::GrantCommand::Reader from) {
  return {.group = from.getGroup(),
          .name = from.getName(),
          .address = from.getAddress(),
          .incarnation = from.getIncarnation(),
          .replaces = from.getReplaces()};
}

command_body ReadGroupBody(proto::Command::Reader root) {
  if (root.isFormGroup()) {
    const auto from = root.getFormGroup();
    return form_group_command{.group = from.getGroup(),
                              .generation = from.getGeneration(),
                              .ranks = ReadRanks(from.getRanks()),
                              .map = wire::ReadFields(from.getMap())};
  }
  if (root.isStageMap()) {
    const auto from = root.getStageMap();
    return stage_map_command{.group = from.getGroup(),
                             .generation = from.getGeneration(),
                             .map = wire::ReadFields(from.getMap())};
  }
  if (root.isArmMap()) {
    const auto from = root.getArmMap();
    return arm_map_command{.group = from.getGroup(),
                           .generation = from.getGeneration(),
                           .epoch = from.getEpoch(),
                           .step = from.getStep()};
  }
  return ReadBody(root.getDecideMap());
}

command_body ReadBody(proto::Command::Reader root) {
  switch (root.which()) {
    case proto::Command::CLOCK_TICK:
      return clock_tick{root.getClockTick()};
    case proto::Command::PUBLISH:
      return ReadBody(root.getPublish());
    case proto::Command::PUBLISH_DOCUMENT:
      return wire::ReadFields(root.getPublishDocument());
    case proto::Command::CLAIM:
      return ReadBody(root.getClaim());
    case proto::Command::CLAIM_MOVE:
      return wire::ReadFields(root.getClaimMove());
    case proto::Command::CLAIM_OUTCOME:
      return wire::ReadFields(root.getClaimOutcome());
    case proto::Command::DRAIN:
      return wire::drain_request{root.getDrain().getName(),
                                 root.getDrain().getDrained()};
    case proto::Command::SUSPECTS:
      return ReadBody(root.getSuspects());
    case proto::Command::SUSPECT_CLEARED:
      return wire::suspect_cleared{wire::Read(root.getSuspectCleared())};
    case proto::Command::RELEASE:
      return wire::release_quarantine{wire::Read(root.getRelease())};
    case proto::Command::CRASH_REPORTS:
      return wire::ReadFields(root.getCrashReports());
    case proto::Command::ANSWERS_BEGUN:
      return wire::ReadFields(root.getAnswersBegun());
    case proto::Command::EVACUATE:
      return wire::ReadFields(root.getEvacuate());
    case proto::Command::DEPARTURE:
      return departure_command{
          .name = root.getDeparture().getName(),
          .incarnation = root.getDeparture().getIncarnation()};
    case proto::Command::GRANT:
      return ReadBody(root.getGrant());
    case proto::Command::FORM_GROUP:
    case proto::Command::STAGE_MAP:
    case proto::Command::ARM_MAP:
    case proto::Command::DECIDE_MAP:
      return ReadGroupBody(root);
  }
  // If a replica skipped the command, its state would diverge from the others.
  throw wire::malformed_message("unknown kind of command");
}

}  // namespace

std::string EncodeCommand(const command& value) {
  capnp::MallocMessageBuilder builder(128);
  auto root = builder.initRoot<proto::Command>();
  root.setWallMs(value.wall_ms);
  root.setProposer(value.proposer);
  root.setProposal(value.proposal);
  std::visit(body_writer{root}, value.body);
  return wire::Serialize(builder);
}

command DecodeCommand(std::string_view bytes) {
  const wire::message_bytes copy(bytes);
  try {
    capnp::FlatArrayMessageReader reader(copy.words(), RecordReaderOptions());
    const auto root = reader.getRoot<proto::Command>();
    return {.wall_ms = root.getWallMs(),
            .proposer = root.getProposer(),
            .proposal = root.getProposal(),
            .body = ReadBody(root)};
  } catch (const kj::Exception& exception) {
    throw wire::malformed_message(exception.getDescription().cStr());
  }
}

}  // namespace wisteriaroute::control
