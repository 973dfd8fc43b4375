#include "libwisteriaroute/wire/control_fields.h"

namespace wisteriaroute::wire {

namespace {

void WriteBackend(const backend_info& from, proto::BackendInfo::Builder to) {
  to.setClassName(from.class_name);
  to.setService(from.service);
  to.setGroup(from.group);
  to.setRank(from.rank);
  to.setIncarnation(from.incarnation);
  to.setWindow(from.window);
  to.setHealthy(from.healthy);
  to.setSlots(from.slots);
  to.setVersion(from.version);
  auto models = to.initModels(Count(from.models));
  for (unsigned i = 0; i < from.models.size(); ++i) {
    models.set(i, from.models[i]);
  }
}

backend_info ReadBackend(proto::BackendInfo::Reader from) {
  backend_info result{.class_name = from.getClassName(),
                      .service = from.getService(),
                      .group = from.getGroup(),
                      .rank = from.getRank(),
                      .incarnation = from.getIncarnation(),
                      .window = from.getWindow(),
                      .healthy = from.getHealthy(),
                      .slots = from.getSlots(),
                      .version = from.getVersion()};
  for (const auto model : from.getModels()) {
    result.models.emplace_back(model.cStr(), model.size());
  }
  return result;
}

}  // namespace

void WriteFields(const member_info& from, proto::MemberInfo::Builder to) {
  to.setName(from.name);
  to.setRole(static_cast<std::uint8_t>(from.role));
  to.setIncarnation(from.incarnation);
  to.setAddress(from.address);
  to.setRegion(from.region);
  to.setDataCenter(from.data_center);
  to.setLeaving(from.leaving);
  WriteBackend(from.backend, to.initBackend());
  to.setColdLeftMs(from.cold_left_ms.value_or(-1));
}

member_info ReadFields(proto::MemberInfo::Reader from) {
  return {.name = from.getName(),
          .role = ReadEnum<member_role>(from.getRole(), 4),
          .incarnation = from.getIncarnation(),
          .address = from.getAddress(),
          .region = from.getRegion(),
          .data_center = from.getDataCenter(),
          .leaving = from.getLeaving(),
          .backend = ReadBackend(from.getBackend()),
          .cold_left_ms = from.getColdLeftMs() < 0
                              ? std::nullopt
                              : std::optional(from.getColdLeftMs())};
}

void WriteFields(const config_object& from, proto::ConfigObject::Builder to) {
  to.setKind(from.kind);
  to.setName(from.name);
  to.setBody(from.body);
}

config_object ReadFields(proto::ConfigObject::Reader from) {
  return {
      .kind = from.getKind(), .name = from.getName(), .body = from.getBody()};
}

void WriteFields(const object_name& from, proto::ObjectName::Builder to) {
  to.setKind(from.kind);
  to.setName(from.name);
}

object_name ReadFields(proto::ObjectName::Reader from) {
  return {.kind = from.getKind(), .name = from.getName()};
}

void WriteFields(const config_update& from, proto::ConfigUpdate::Builder to) {
  to.setBaseRevision(from.base_revision);
  to.setRevision(from.revision);
  WriteList(from.changed, to.initChanged(Count(from.changed)));
  WriteList(from.removed, to.initRemoved(Count(from.removed)));
}

config_update ReadFields(proto::ConfigUpdate::Reader from) {
  return {.base_revision = from.getBaseRevision(),
          .revision = from.getRevision(),
          .changed = ReadList<config_object>(from.getChanged()),
          .removed = ReadList<object_name>(from.getRemoved())};
}

void WriteFields(const quarantine_entry& from,
                 proto::QuarantineEntry::Builder to) {
  Write(from.fingerprint, to.initFingerprint());
  to.setState(static_cast<std::uint8_t>(from.state));
  to.setCrashes(from.crashes);
  to.setSinceMs(from.since_ms);
  to.setIsPart(from.is_part);
}

quarantine_entry ReadFields(proto::QuarantineEntry::Reader from) {
  return {.fingerprint = Read(from.getFingerprint()),
          .state = ReadEnum<quarantine_state>(from.getState(), 2),
          .crashes = from.getCrashes(),
          .since_ms = from.getSinceMs(),
          .is_part = from.getIsPart()};
}

void WriteFields(const suspect_request& from,
                 proto::SuspectRequest::Builder to) {
  Write(from.fingerprint, to.initFingerprint());
  auto parts = to.initParts(Count(from.parts));
  for (unsigned i = 0; i < from.parts.size(); ++i) {
    Write(from.parts[i].fingerprint, parts[i].initFingerprint());
    parts[i].setAnswered(from.parts[i].answered);
  }
}

suspect_request ReadFields(proto::SuspectRequest::Reader from) {
  suspect_request result{.fingerprint = Read(from.getFingerprint())};
  for (const auto part : from.getParts()) {
    result.parts.push_back({.fingerprint = Read(part.getFingerprint()),
                            .answered = part.getAnswered()});
  }
  return result;
}

void WriteFields(const crash_reports& from, proto::CrashReports::Builder to) {
  auto crashes = to.initCrashes(Count(from.crashes));
  for (unsigned i = 0; i < from.crashes.size(); ++i) {
    const crash_report& report = from.crashes[i];
    Write(report.id, crashes[i].initId());
    crashes[i].setAgeMs(report.age_ms);
    WriteList(report.suspects, crashes[i].initSuspects(Count(report.suspects)));
  }
}

crash_reports ReadFields(proto::CrashReports::Reader from) {
  crash_reports result;
  for (const auto crash : from.getCrashes()) {
    result.crashes.push_back(
        {.id = Read(crash.getId()),
         .age_ms = crash.getAgeMs(),
         .suspects = ReadList<suspect_request>(crash.getSuspects())});
  }
  return result;
}

void WriteFields(const answers_begun& from, proto::AnswersBegun::Builder to) {
  auto answers = to.initAnswers(Count(from.answers));
  for (unsigned i = 0; i < from.answers.size(); ++i) {
    Write(from.answers[i].fingerprint, answers[i].initFingerprint());
    answers[i].setAgeMs(from.answers[i].age_ms);
  }
}

answers_begun ReadFields(proto::AnswersBegun::Reader from) {
  answers_begun result;
  for (const auto answer : from.getAnswers()) {
    result.answers.push_back({.fingerprint = Read(answer.getFingerprint()),
                              .age_ms = answer.getAgeMs()});
  }
  return result;
}

void WriteFields(const claim_target& from, proto::ClaimTarget::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setAgent(from.agent);
  to.setBackendIncarnation(from.backend_incarnation);
  to.setWindow(from.window);
}

claim_target ReadFields(proto::ClaimTarget::Reader from) {
  return {.attempt = Read(from.getAttempt()),
          .agent = from.getAgent(),
          .backend_incarnation = from.getBackendIncarnation(),
          .window = from.getWindow()};
}

void WriteFields(const recorded_response& from,
                 proto::RecordedResponse::Builder to) {
  to.setOutcome(static_cast<std::uint8_t>(from.ran));
  to.setStatus(from.status);
  WriteHeaders(from.headers, to.initHeaders(Count(from.headers)));
  to.setBody(AsData(from.body));
  to.setBodyDropped(from.body_dropped);
}

recorded_response ReadFields(proto::RecordedResponse::Reader from) {
  return {.ran = ReadEnum<outcome>(from.getOutcome(), 3),
          .status = from.getStatus(),
          .headers = ReadHeaders(from.getHeaders()),
          .body = ReadData(from.getBody()),
          .body_dropped = from.getBodyDropped()};
}

void WriteFields(const claim_request& from, proto::ClaimRequest::Builder to) {
  to.setCorrelation(from.correlation);
  to.setWorkspace(from.workspace);
  Write(from.key_digest, to.initKeyDigest());
  Write(from.body_digest, to.initBodyDigest());
  to.setKeyCreatedMs(from.key_created_ms);
  WriteFields(from.target, to.initTarget());
}

claim_request ReadFields(proto::ClaimRequest::Reader from) {
  return {.correlation = from.getCorrelation(),
          .workspace = from.getWorkspace(),
          .key_digest = Read(from.getKeyDigest()),
          .body_digest = Read(from.getBodyDigest()),
          .key_created_ms = from.getKeyCreatedMs(),
          .target = ReadFields(from.getTarget())};
}

void WriteFields(const claim_move& from, proto::ClaimMove::Builder to) {
  to.setCorrelation(from.correlation);
  to.setWorkspace(from.workspace);
  Write(from.key_digest, to.initKeyDigest());
  Write(from.from_attempt, to.initFromAttempt());
  WriteFields(from.to, to.initTo());
}

claim_move ReadFields(proto::ClaimMove::Reader from) {
  return {.correlation = from.getCorrelation(),
          .workspace = from.getWorkspace(),
          .key_digest = Read(from.getKeyDigest()),
          .from_attempt = Read(from.getFromAttempt()),
          .to = ReadFields(from.getTo())};
}

void WriteFields(const claim_outcome& from, proto::ClaimOutcome::Builder to) {
  to.setCorrelation(from.correlation);
  to.setWorkspace(from.workspace);
  Write(from.key_digest, to.initKeyDigest());
  Write(from.attempt, to.initAttempt());
  WriteFields(from.response, to.initResponse());
}

claim_outcome ReadFields(proto::ClaimOutcome::Reader from) {
  return {.correlation = from.getCorrelation(),
          .workspace = from.getWorkspace(),
          .key_digest = Read(from.getKeyDigest()),
          .attempt = Read(from.getAttempt()),
          .response = ReadFields(from.getResponse())};
}

void WriteFields(const expert_map& from, proto::ExpertMap::Builder to) {
  to.setExperts(from.experts);
  to.setRanks(from.ranks);
  to.setLayers(from.layers);
  to.setSlotsPerRank(from.slots_per_rank);
  to.setSlots(kj::arrayPtr(from.slots.data(), from.slots.size()));
}

expert_map ReadFields(proto::ExpertMap::Reader from) {
  expert_map result{.experts = from.getExperts(),
                    .ranks = from.getRanks(),
                    .layers = from.getLayers(),
                    .slots_per_rank = from.getSlotsPerRank()};
  result.slots = ReadNumbers<std::uint16_t>(from.getSlots());
  return result;
}

void WriteFields(const order& from, proto::Order::Builder to) {
  to.setOrderId(from.order_id);
  to.setTerm(from.fencing.term);
  to.setIndex(from.fencing.index);
  to.setKind(static_cast<std::uint8_t>(from.kind));
  to.setGroup(from.group);
  to.setGeneration(from.generation);
  to.setEpoch(from.epoch);
  to.setStep(from.step);
  to.setCommit(from.commit);
  to.setName(from.name);
  to.setVersion(from.version);
  WriteFields(from.map, to.initMap());
}

order ReadFields(proto::Order::Reader from) {
  return {.order_id = from.getOrderId(),
          .fencing = {.term = from.getTerm(), .index = from.getIndex()},
          .kind = ReadEnum<order_kind>(from.getKind(), 8),
          .group = from.getGroup(),
          .generation = from.getGeneration(),
          .epoch = from.getEpoch(),
          .step = from.getStep(),
          .commit = from.getCommit(),
          .name = from.getName(),
          .version = from.getVersion(),
          .map = ReadFields(from.getMap())};
}

void WriteFields(const publish_document& from, proto::Document::Builder to) {
  to.setVersion(from.version);
  to.setBody(capnp::Data::Reader(
      reinterpret_cast<const capnp::byte*>(from.body.data()),
      from.body.size()));
}

publish_document ReadFields(proto::Document::Reader from) {
  const capnp::Data::Reader body = from.getBody();
  return {.version = from.getVersion(),
          .body = std::string(reinterpret_cast<const char*>(body.begin()),
                              body.size())};
}

void WriteFields(const report_server& from, proto::ServerReport::Builder to) {
  WriteFields(from.info, to.initInfo());
  to.setSequence(from.sequence);
  to.setGone(from.gone);
}

report_server ReadFields(proto::ServerReport::Reader from) {
  return {.info = ReadFields(from.getInfo()),
          .sequence = from.getSequence(),
          .gone = from.getGone()};
}

void WriteFields(const publish_request& from,
                 proto::PublishRequest::Builder to) {
  to.setBaseRevision(from.base_revision);
  to.setOperationId(from.operation_id);
  WriteList(from.changed, to.initChanged(Count(from.changed)));
  WriteList(from.removed, to.initRemoved(Count(from.removed)));
  to.setWhole(from.full);
}

publish_request ReadFields(proto::PublishRequest::Reader from) {
  return {.base_revision = from.getBaseRevision(),
          .operation_id = from.getOperationId(),
          .changed = ReadList<config_object>(from.getChanged()),
          .removed = ReadList<object_name>(from.getRemoved()),
          .full = from.getWhole()};
}

}  // namespace wisteriaroute::wire
