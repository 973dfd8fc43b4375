#include "libwisteriaroute/wire/admin_fields.h"

#include "libwisteriaroute/wire/control_fields.h"
#include "libwisteriaroute/wire/evacuation_fields.h"

namespace wisteriaroute::wire {

namespace {

void WriteEvent(const base::timeline_event& from,
                proto::TimelineEvent::Builder to) {
  to.setHlc(from.hlc);
  to.setProcess(from.process);
  to.setKind(from.kind);
  to.setRequestId(from.request_id);
  to.setGroup(from.group);
  to.setServer(from.server);
  to.setRevision(from.revision);
  to.setDetail(from.detail);
}

base::timeline_event ReadEvent(proto::TimelineEvent::Reader from) {
  return {.hlc = from.getHlc(),
          .process = from.getProcess(),
          .kind = from.getKind(),
          .request_id = from.getRequestId(),
          .group = from.getGroup(),
          .server = from.getServer(),
          .revision = from.getRevision(),
          .detail = from.getDetail()};
}

struct call_writer {
  proto::AdminRequest::Builder to;

  void operator()(const publish_request& from) {
    WriteFields(from, to.initPublish());
  }
  void operator()(const get_config&) { to.setGetConfig(); }
  void operator()(const get_status&) { to.setGetStatus(); }
  void operator()(const get_history&) { to.setGetHistory(); }
  void operator()(const drain_request& from) {
    auto drain = to.initDrain();
    drain.setName(from.name);
    drain.setDrained(from.drained);
  }
  void operator()(const get_groups&) { to.setGetGroups(); }
  void operator()(const get_quarantine&) { to.setGetQuarantine(); }
  void operator()(const release_quarantine& from) {
    Write(from.fingerprint, to.initReleaseQuarantine());
  }
  void operator()(const get_members&) { to.setGetMembers(); }
  void operator()(const add_replica& from) {
    auto add = to.initAddReplica();
    add.setName(from.name);
    add.setAddress(from.address);
  }
  void operator()(const remove_replica& from) {
    to.setRemoveReplica(from.name);
  }
  void operator()(const base::timeline_filter& from) {
    auto filter = to.initTimeline();
    filter.setRequestId(from.request_id);
    filter.setGroup(from.group);
    filter.setServer(from.server);
    filter.setRevision(from.revision);
    filter.setLimit(from.limit);
  }
  void operator()(const publish_document& from) {
    WriteFields(from, to.initPublishDocument());
  }
  void operator()(const get_document&) { to.setGetDocument(); }
  void operator()(const report_server& from) {
    WriteFields(from, to.initReportServer());
  }
  void operator()(const evacuation_order& from) {
    WriteFields(from, to.initEvacuate());
  }
  void operator()(const rebalance_request& from) {
    to.setRebalance(from.group);
  }
};

base::timeline_filter ReadFilter(proto::TimelineFilter::Reader from) {
  return {.request_id = from.getRequestId(),
          .group = from.getGroup(),
          .server = from.getServer(),
          .revision = from.getRevision(),
          .limit = from.getLimit()};
}

admin_call ReadCall(proto::AdminRequest::Reader from) {
  switch (from.which()) {
    case proto::AdminRequest::PUBLISH:
      return ReadFields(from.getPublish());
    case proto::AdminRequest::GET_CONFIG:
      return get_config{};
    case proto::AdminRequest::GET_STATUS:
      return get_status{};
    case proto::AdminRequest::GET_HISTORY:
      return get_history{};
    case proto::AdminRequest::DRAIN:
      return drain_request{from.getDrain().getName(),
                           from.getDrain().getDrained()};
    case proto::AdminRequest::GET_GROUPS:
      return get_groups{};
    case proto::AdminRequest::GET_QUARANTINE:
      return get_quarantine{};
    case proto::AdminRequest::RELEASE_QUARANTINE:
      return release_quarantine{Read(from.getReleaseQuarantine())};
    case proto::AdminRequest::GET_MEMBERS:
      return get_members{};
    case proto::AdminRequest::ADD_REPLICA:
      return add_replica{from.getAddReplica().getName(),
                         from.getAddReplica().getAddress()};
    case proto::AdminRequest::REMOVE_REPLICA:
      return remove_replica{from.getRemoveReplica()};
    case proto::AdminRequest::TIMELINE:
      return ReadFilter(from.getTimeline());
    case proto::AdminRequest::REBALANCE:
      return rebalance_request{from.getRebalance()};
    case proto::AdminRequest::PUBLISH_DOCUMENT:
      return ReadFields(from.getPublishDocument());
    case proto::AdminRequest::GET_DOCUMENT:
      return get_document{};
    case proto::AdminRequest::REPORT_SERVER:
      return ReadFields(from.getReportServer());
    case proto::AdminRequest::EVACUATE:
      return ReadFields(from.getEvacuate());
  }
  throw malformed_message("unknown administrative request type");
}

}  // namespace

void WriteFields(const admin_request& from, proto::AdminRequest::Builder to) {
  to.setCorrelation(from.correlation);
  std::visit(call_writer{to}, from.call);
}

admin_request ReadFields(proto::AdminRequest::Reader from) {
  return {.correlation = from.getCorrelation(), .call = ReadCall(from)};
}

void WriteFields(const admin_reply& from, proto::AdminReply::Builder to) {
  to.setCorrelation(from.correlation);
  to.setResult(static_cast<std::uint8_t>(from.result));
  to.setCode(from.code);
  to.setMessage(from.message);
  to.setJson(from.json);
  auto events = to.initEvents(Count(from.events));
  for (unsigned i = 0; i < from.events.size(); ++i) {
    WriteEvent(from.events[i], events[i]);
  }
}

admin_reply ReadFields(proto::AdminReply::Reader from) {
  admin_reply result{.correlation = from.getCorrelation(),
                     .result = ReadEnum<admin_result>(from.getResult(), 4),
                     .code = from.getCode(),
                     .message = from.getMessage(),
                     .json = from.getJson()};
  for (const auto event : from.getEvents()) {
    result.events.push_back(ReadEvent(event));
  }
  return result;
}

}  // namespace wisteriaroute::wire
