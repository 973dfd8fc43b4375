#include "libwisteriaroute/wire/control_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <limits>

#include "libwisteriaroute/wire/admin_fields.h"
#include "libwisteriaroute/wire/control_fields.h"
#include "libwisteriaroute/wire/evacuation_fields.h"
#include "libwisteriaroute/wire/packed_counts.h"
#include "libwisteriaroute/wire/placement_edits.h"
#include "libwisteriaroute/wire/varint.h"

namespace wisteriaroute::wire {

namespace {

using wire::ReadFields;
using wire::WriteFields;

void WriteFields(const session_ack& from, proto::SessionAck::Builder to) {
  to.setSequence(from.sequence);
  to.setTerm(from.fencing.term);
  to.setFencingIndex(from.fencing.index);
  to.setLeaseMs(from.lease_ms);
  to.setRevision(from.revision);
}

session_ack ReadFields(proto::SessionAck::Reader from) {
  return {.sequence = from.getSequence(),
          .fencing = {.term = from.getTerm(), .index = from.getFencingIndex()},
          .lease_ms = from.getLeaseMs(),
          .revision = from.getRevision()};
}

void WriteTexts(const std::vector<std::string>& from,
                capnp::List<capnp::Text>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to.set(i, from[i]);
  }
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader from) {
  std::vector<std::string> texts;
  for (const auto text : from) {
    texts.emplace_back(text.cStr(), text.size());
  }
  return texts;
}

void WriteDigests(const std::vector<base::digest128>& from,
                  capnp::List<proto::Digest128>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    Write(from[i], to[i]);
  }
}

std::vector<base::digest128> ReadDigests(
    capnp::List<proto::Digest128>::Reader from) {
  std::vector<base::digest128> digests;
  for (const auto digest : from) {
    digests.push_back(Read(digest));
  }
  return digests;
}

void WriteFields(const member_update& from, proto::MemberUpdate::Builder to) {
  to.setFull(from.full);
  WriteList(from.changed, to.initChanged(Count(from.changed)));
  WriteTexts(from.removed, to.initRemoved(Count(from.removed)));
  WriteTexts(from.drained, to.initDrained(Count(from.drained)));
  WriteFields(from.evacuations, to.initEvacuations());
  to.setEntryIds(kj::arrayPtr(from.entry_ids.data(), from.entry_ids.size()));
}

member_update ReadFields(proto::MemberUpdate::Reader from) {
  return {.full = from.getFull(),
          .changed = ReadList<member_info>(from.getChanged()),
          .removed = ReadTexts(from.getRemoved()),
          .drained = ReadTexts(from.getDrained()),
          .evacuations = ReadFields(from.getEvacuations()),
          .entry_ids = ReadNumbers<std::uint64_t>(from.getEntryIds())};
}

void WriteFields(const quarantine_update& from,
                 proto::QuarantineUpdate::Builder to) {
  to.setFull(from.full);
  WriteList(from.changed, to.initChanged(Count(from.changed)));
  WriteDigests(from.removed, to.initRemoved(Count(from.removed)));
}

quarantine_update ReadFields(proto::QuarantineUpdate::Reader from) {
  return {.full = from.getFull(),
          .changed = ReadList<quarantine_entry>(from.getChanged()),
          .removed = ReadDigests(from.getRemoved())};
}

void WriteFields(const claim_reply& from, proto::ClaimReply::Builder to) {
  to.setCorrelation(from.correlation);
  to.setResult(static_cast<std::uint8_t>(from.result));
  WriteFields(from.holder, to.initHolder());
  WriteFields(from.response, to.initResponse());
}

claim_reply ReadFields(proto::ClaimReply::Reader from) {
  return {.correlation = from.getCorrelation(),
          .result = ReadEnum<claim_result>(from.getResult(), 7),
          .holder = ReadFields(from.getHolder()),
          .response = ReadFields(from.getResponse())};
}

void WriteFields(const suspect_report& from, proto::SuspectReport::Builder to) {
  to.setAgent(from.agent);
  to.setBackendIncarnation(from.backend_incarnation);
  WriteDigests(from.running, to.initRunning(Count(from.running)));
}

suspect_report ReadFields(proto::SuspectReport::Reader from) {
  return {.agent = from.getAgent(),
          .backend_incarnation = from.getBackendIncarnation(),
          .running = ReadDigests(from.getRunning())};
}

void WriteFields(const order_result& from, proto::OrderResult::Builder to) {
  to.setOrderId(from.order_id);
  to.setTerm(from.fencing.term);
  to.setIndex(from.fencing.index);
  to.setResult(static_cast<std::uint8_t>(from.result));
  to.setStep(from.step);
  to.setMessage(from.message);
}

order_result ReadFields(proto::OrderResult::Reader from) {
  return {.order_id = from.getOrderId(),
          .fencing = {.term = from.getTerm(), .index = from.getIndex()},
          .result = ReadEnum<order_status>(from.getResult(), 4),
          .step = from.getStep(),
          .message = from.getMessage()};
}

void WriteFields(const group_report& from, proto::GroupReport::Builder to) {
  to.setGroup(from.group);
  to.setGeneration(from.generation);
  to.setRank(from.rank);
  to.setBackendIncarnation(from.backend_incarnation);
  to.setStep(from.step);
  to.setMapEpoch(from.map_epoch);
  to.setStagedEpoch(from.staged_epoch);
  to.setStepTimeUs(from.step_time_us);
  to.setExpertTokens(
      kj::arrayPtr(from.expert_tokens.data(), from.expert_tokens.size()));
}

group_report ReadFields(proto::GroupReport::Reader from) {
  group_report result{.group = from.getGroup(),
                      .generation = from.getGeneration(),
                      .rank = from.getRank(),
                      .backend_incarnation = from.getBackendIncarnation(),
                      .step = from.getStep(),
                      .map_epoch = from.getMapEpoch(),
                      .staged_epoch = from.getStagedEpoch(),
                      .step_time_us = from.getStepTimeUs()};
  result.expert_tokens = ReadNumbers<std::uint32_t>(from.getExpertTokens());
  return result;
}

using number_list = capnp::List<std::uint16_t>;

void WriteLists(const std::vector<expert_list>& from,
                capnp::List<number_list>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    auto list = to.init(i, Count(from[i]));
    for (unsigned j = 0; j < from[i].size(); ++j) {
      list.set(j, from[i][j]);
    }
  }
}

std::vector<expert_list> ReadLists(capnp::List<number_list>::Reader from) {
  std::vector<expert_list> lists;
  for (const auto list : from) {
    lists.push_back(ReadNumbers<std::uint16_t>(list));
  }
  return lists;
}

std::string PackPlacement(const expert_placement& from) {
  std::string bytes;
  for (const auto& ranks : from) {
    AppendVarint(bytes, Count(ranks));
    for (const expert_list& held : ranks) {
      AppendVarint(bytes, Count(held));
      for (const std::uint16_t expert : held) {
        AppendVarint(bytes, expert);
      }
    }
  }
  return bytes;
}

/**
 * Reads the size of a list. Each element takes at least one byte, so a size
 * above the number of remaining bytes is malformed.
 */
std::uint32_t TakeCount(std::string_view& bytes) {
  const std::uint32_t count = TakeVarint(bytes);
  if (count > bytes.size()) {
    throw malformed_message("list size exceeds the message size");
  }
  return count;
}

expert_placement UnpackPlacement(std::string_view bytes) {
  expert_placement placement;
  while (!bytes.empty()) {
    auto& ranks = placement.emplace_back(TakeCount(bytes));
    for (expert_list& held : ranks) {
      held.resize(TakeCount(bytes));
      for (std::uint16_t& expert : held) {
        const std::uint32_t number = TakeVarint(bytes);
        if (number > std::numeric_limits<std::uint16_t>::max()) {
          throw malformed_message("expert number exceeds 16 bits");
        }
        expert = static_cast<std::uint16_t>(number);
      }
    }
  }
  return placement;
}

void WriteFields(const rank_status& from, proto::RankStatus::Builder to) {
  to.setService(from.service);
  to.setGroup(from.group);
  to.setFormation(from.formation);
  to.setRank(from.rank);
  to.setRanks(from.ranks);
  to.setOpen(from.group_running);
  to.setStep(from.step);
  to.setMapVersion(from.map_version);
  to.setPreparedVersion(from.prepared_version);
  to.setArmedVersion(from.armed_version);
  to.setArmedStep(from.armed_step);
  to.setHeldStep(from.held_step);
  to.setPackedTokens(AsData(PackCounts(from.expert_tokens)));
  to.setFirstStep(from.first_count_step);
  to.setLastStep(from.last_count_step);
  WriteLists(from.experts, to.initExperts(Count(from.experts)));
  to.setTerm(from.term);
  to.setServer(from.server);
  to.setPace(from.pace_permille);
  to.setPlacementVersion(from.placement_version);
}

rank_status ReadFields(proto::RankStatus::Reader from) {
  rank_status result{.service = from.getService(),
                     .group = from.getGroup(),
                     .formation = from.getFormation(),
                     .rank = from.getRank(),
                     .ranks = from.getRanks(),
                     .group_running = from.getOpen(),
                     .step = from.getStep(),
                     .map_version = from.getMapVersion(),
                     .prepared_version = from.getPreparedVersion(),
                     .armed_version = from.getArmedVersion(),
                     .armed_step = from.getArmedStep(),
                     .held_step = from.getHeldStep()};
  // Sidecars of earlier versions send `expertTokens`.
  result.expert_tokens = from.getPackedTokens().size() > 0
                             ? UnpackCounts(ReadData(from.getPackedTokens()))
                             : UnpackNumbers(ReadData(from.getExpertTokens()));
  result.first_count_step = from.getFirstStep();
  result.last_count_step = from.getLastStep();
  result.experts = ReadLists(from.getExperts());
  result.term = from.getTerm();
  result.server = from.getServer();
  result.pace_permille = from.getPace() != 0 ? from.getPace() : kHealthyPace;
  result.placement_version = from.getPlacementVersion();
  return result;
}

void WriteFields(const rank_order& from, proto::RankOrder::Builder to) {
  to.setKind(static_cast<std::uint8_t>(from.kind));
  to.setTerm(from.term);
  to.setFormation(from.formation);
  to.setVersion(from.version);
  to.setStep(from.step);
  to.setPlacement(AsData(PackPlacement(from.placement)));
  to.setBaseVersion(from.base_version);
  to.setEdits(AsData(PackEdits(from.edits)));
  to.setPlacementDigest(from.placement_digest);
}

rank_order ReadFields(proto::RankOrder::Reader from) {
  return {.kind = ReadEnum<rank_order_kind>(from.getKind(), 6),
          .term = from.getTerm(),
          .formation = from.getFormation(),
          .version = from.getVersion(),
          .step = from.getStep(),
          .placement = UnpackPlacement(ReadData(from.getPlacement())),
          .base_version = from.getBaseVersion(),
          .edits = UnpackEdits(ReadData(from.getEdits())),
          .placement_digest = from.getPlacementDigest()};
}

void WriteFields(const rank_presence& from, proto::RankPresence::Builder to) {
  to.setService(from.service);
  to.setGroup(from.group);
  to.setRank(from.rank);
  to.setRanks(from.ranks);
  to.setTerm(from.term);
  to.setServed(from.coordinator_linked);
}

rank_presence ReadFields(proto::RankPresence::Reader from) {
  return {.service = from.getService(),
          .group = from.getGroup(),
          .rank = from.getRank(),
          .ranks = from.getRanks(),
          .term = from.getTerm(),
          .coordinator_linked = from.getServed()};
}

void WriteFields(const coordinator_grant& from,
                 proto::CoordinatorGrant::Builder to) {
  to.setGroup(from.group);
  to.setTerm(from.term);
  to.setName(from.name);
  to.setAddress(from.address);
  to.setIncarnation(from.incarnation);
  if (from.shape) {
    auto shape = to.initShape();
    shape.setSets(from.shape->sets);
    shape.setExperts(from.shape->experts);
    shape.setSlots(from.shape->slots);
    shape.setSpareSlots(from.shape->spare_slots);
    shape.setCopyUs(from.shape->copy_us);
  }
}

coordinator_grant ReadFields(proto::CoordinatorGrant::Reader from) {
  coordinator_grant result{.group = from.getGroup(),
                           .term = from.getTerm(),
                           .name = from.getName(),
                           .address = from.getAddress(),
                           .incarnation = from.getIncarnation()};
  if (from.hasShape()) {
    const auto shape = from.getShape();
    result.shape = placement_shape{.sets = shape.getSets(),
                                   .experts = shape.getExperts(),
                                   .slots = shape.getSlots(),
                                   .spare_slots = shape.getSpareSlots(),
                                   .copy_us = shape.getCopyUs()};
  }
  return result;
}

struct message_writer {
  proto::ControlMessage::Builder root;

  void operator()(const session_hello& from) {
    auto to = root.initSessionHello();
    WriteFields(from.info, to.initInfo());
    to.setRevision(from.revision);
    to.setResend(from.resend);
  }
  void operator()(const session_heartbeat& from) {
    auto to = root.initSessionHeartbeat();
    to.setSequence(from.sequence);
    to.setRevision(from.revision);
    to.setReady(from.ready);
  }
  void operator()(const session_ack& from) {
    WriteFields(from, root.initSessionAck());
  }
  void operator()(const session_goodbye&) { root.initSessionGoodbye(); }
  void operator()(const not_leader& from) {
    auto to = root.initNotLeader();
    to.setLeaderName(from.leader_name);
    to.setLeaderAddress(from.leader_address);
  }
  void operator()(const config_update& from) {
    WriteFields(from, root.initConfigUpdate());
  }
  void operator()(const member_update& from) {
    WriteFields(from, root.initMemberUpdate());
  }
  void operator()(const quarantine_update& from) {
    WriteFields(from, root.initQuarantineUpdate());
  }
  void operator()(const claim_request& from) {
    WriteFields(from, root.initClaimRequest());
  }
  void operator()(const claim_move& from) {
    WriteFields(from, root.initClaimMove());
  }
  void operator()(const claim_outcome& from) {
    WriteFields(from, root.initClaimOutcome());
  }
  void operator()(const claim_reply& from) {
    WriteFields(from, root.initClaimReply());
  }
  void operator()(const suspect_report& from) {
    WriteFields(from, root.initSuspectReport());
  }
  void operator()(const suspect_cleared& from) {
    Write(from.fingerprint, root.initSuspectCleared().initFingerprint());
  }
  void operator()(const crash_reports& from) {
    WriteFields(from, root.initCrashReports());
  }
  void operator()(const answers_begun& from) {
    WriteFields(from, root.initAnswersBegun());
  }
  void operator()(const server_crash& from) {
    auto to = root.initServerCrash();
    to.setServer(from.server);
    to.setIncarnation(from.incarnation);
  }
  void operator()(const order& from) { WriteFields(from, root.initOrder()); }
  void operator()(const order_result& from) {
    WriteFields(from, root.initOrderResult());
  }
  void operator()(const group_report& from) {
    WriteFields(from, root.initGroupReport());
  }
  void operator()(const admin_request& from) {
    WriteFields(from, root.initAdminRequest());
  }
  void operator()(const rank_status& from) {
    WriteFields(from, root.initRankStatus());
  }
  void operator()(const rank_order& from) {
    WriteFields(from, root.initRankOrder());
  }
  void operator()(const rank_presence& from) {
    WriteFields(from, root.initRankPresence());
  }
  void operator()(const coordinator_grant& from) {
    WriteFields(from, root.initCoordinatorGrant());
  }
  void operator()(const admin_reply& from) {
    WriteFields(from, root.initAdminReply());
  }
};

control_message ReadMessage(proto::ControlMessage::Reader root) {
  switch (root.which()) {
    case proto::ControlMessage::SESSION_HELLO:
      return session_hello{ReadFields(root.getSessionHello().getInfo()),
                           root.getSessionHello().getRevision(),
                           root.getSessionHello().getResend()};
    case proto::ControlMessage::SESSION_HEARTBEAT: {
      const auto from = root.getSessionHeartbeat();
      return session_heartbeat{from.getSequence(), from.getRevision(),
                               from.getReady()};
    }
    case proto::ControlMessage::SESSION_ACK:
      return ReadFields(root.getSessionAck());
    case proto::ControlMessage::RANK_STATUS:
      return ReadFields(root.getRankStatus());
    case proto::ControlMessage::RANK_ORDER:
      return ReadFields(root.getRankOrder());
    case proto::ControlMessage::RANK_PRESENCE:
      return ReadFields(root.getRankPresence());
    case proto::ControlMessage::COORDINATOR_GRANT:
      return ReadFields(root.getCoordinatorGrant());
    case proto::ControlMessage::SESSION_GOODBYE:
      return session_goodbye{};
    case proto::ControlMessage::NOT_LEADER:
      return not_leader{root.getNotLeader().getLeaderName(),
                        root.getNotLeader().getLeaderAddress()};
    case proto::ControlMessage::CONFIG_UPDATE:
      return ReadFields(root.getConfigUpdate());
    case proto::ControlMessage::MEMBER_UPDATE:
      return ReadFields(root.getMemberUpdate());
    case proto::ControlMessage::QUARANTINE_UPDATE:
      return ReadFields(root.getQuarantineUpdate());
    case proto::ControlMessage::CLAIM_REQUEST:
      return ReadFields(root.getClaimRequest());
    case proto::ControlMessage::CLAIM_MOVE:
      return ReadFields(root.getClaimMove());
    case proto::ControlMessage::CLAIM_OUTCOME:
      return ReadFields(root.getClaimOutcome());
    case proto::ControlMessage::CLAIM_REPLY:
      return ReadFields(root.getClaimReply());
    case proto::ControlMessage::SUSPECT_REPORT:
      return ReadFields(root.getSuspectReport());
    case proto::ControlMessage::SUSPECT_CLEARED:
      return suspect_cleared{Read(root.getSuspectCleared().getFingerprint())};
    case proto::ControlMessage::CRASH_REPORTS:
      return ReadFields(root.getCrashReports());
    case proto::ControlMessage::ANSWERS_BEGUN:
      return ReadFields(root.getAnswersBegun());
    case proto::ControlMessage::SERVER_CRASH:
      return server_crash{root.getServerCrash().getServer(),
                          root.getServerCrash().getIncarnation()};
    case proto::ControlMessage::ORDER:
      return ReadFields(root.getOrder());
    case proto::ControlMessage::ORDER_RESULT:
      return ReadFields(root.getOrderResult());
    case proto::ControlMessage::GROUP_REPORT:
      return ReadFields(root.getGroupReport());
    case proto::ControlMessage::ADMIN_REQUEST:
      return ReadFields(root.getAdminRequest());
    case proto::ControlMessage::ADMIN_REPLY:
      return ReadFields(root.getAdminReply());
  }
  throw malformed_message("unknown control message type");
}

}  // namespace

std::string Encode(const control_message& message) {
  capnp::MallocMessageBuilder builder(128);
  std::visit(message_writer{builder.initRoot<proto::ControlMessage>()},
             message);
  return Serialize(builder);
}

control_message DecodeControl(std::string_view bytes) {
  const message_bytes copy(bytes);
  try {
    capnp::FlatArrayMessageReader reader(copy.words());
    return ReadMessage(reader.getRoot<proto::ControlMessage>());
  } catch (const kj::Exception& exception) {
    throw malformed_message(exception.getDescription().cStr());
  }
}

}  // namespace wisteriaroute::wire
