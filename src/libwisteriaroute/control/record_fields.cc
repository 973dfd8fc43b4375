#include "libwisteriaroute/control/record_fields.h"

#include <limits>

namespace wisteriaroute::control {

std::string ReadText(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void WriteField(const wire::claim_target& from,
                proto::ClaimTarget::Builder to) {
  wire::Write(from.attempt, to.initAttempt());
  to.setAgent(from.agent);
  to.setBackendIncarnation(from.backend_incarnation);
  to.setWindow(from.window);
}

wire::claim_target ReadField(proto::ClaimTarget::Reader from) {
  return {.attempt = wire::Read(from.getAttempt()),
          .agent = ReadText(from.getAgent()),
          .backend_incarnation = from.getBackendIncarnation(),
          .window = from.getWindow()};
}

void WriteField(const wire::recorded_response& from,
                proto::RecordedResponse::Builder to) {
  to.setOutcome(static_cast<std::uint8_t>(from.ran));
  to.setStatus(from.status);
  wire::WriteHeaders(
      from.headers, to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(wire::AsData(from.body));
  to.setBodyDropped(from.body_dropped);
}

wire::recorded_response ReadField(proto::RecordedResponse::Reader from) {
  return {.ran = wire::ReadEnum<wire::outcome>(from.getOutcome(), 3),
          .status = from.getStatus(),
          .headers = wire::ReadHeaders(from.getHeaders()),
          .body = wire::ReadData(from.getBody()),
          .body_dropped = from.getBodyDropped()};
}

void WriteField(const wire::expert_map& from, proto::ExpertMap::Builder to) {
  to.setExperts(from.experts);
  to.setRanks(from.ranks);
  to.setLayers(from.layers);
  to.setSlotsPerRank(from.slots_per_rank);
  to.setSlots(kj::arrayPtr(from.slots.data(), from.slots.size()));
}

wire::expert_map ReadField(proto::ExpertMap::Reader from) {
  wire::expert_map map{.experts = from.getExperts(),
                       .ranks = from.getRanks(),
                       .layers = from.getLayers(),
                       .slots_per_rank = from.getSlotsPerRank()};
  map.slots.assign(from.getSlots().begin(), from.getSlots().end());
  return map;
}

void WriteField(const std::vector<wire::config_object>& from,
                capnp::List<proto::ConfigObject>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setKind(from[i].kind);
    to[i].setName(from[i].name);
    to[i].setBody(from[i].body);
  }
}

std::vector<wire::config_object> ReadField(
    capnp::List<proto::ConfigObject>::Reader from) {
  std::vector<wire::config_object> objects;
  objects.reserve(from.size());
  for (const auto object : from) {
    objects.push_back({ReadText(object.getKind()), ReadText(object.getName()),
                       ReadText(object.getBody())});
  }
  return objects;
}

void WriteField(const std::vector<wire::object_name>& from,
                capnp::List<proto::ObjectName>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setKind(from[i].kind);
    to[i].setName(from[i].name);
  }
}

std::vector<wire::object_name> ReadField(
    capnp::List<proto::ObjectName>::Reader from) {
  std::vector<wire::object_name> names;
  names.reserve(from.size());
  for (const auto name : from) {
    names.push_back({ReadText(name.getKind()), ReadText(name.getName())});
  }
  return names;
}

void WriteField(const std::vector<group_rank>& from,
                capnp::List<proto::GroupRank>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setAgent(from[i].agent);
    to[i].setIncarnation(from[i].incarnation);
  }
}

std::vector<group_rank> ReadField(capnp::List<proto::GroupRank>::Reader from) {
  std::vector<group_rank> ranks;
  ranks.reserve(from.size());
  for (const auto rank : from) {
    ranks.push_back({ReadText(rank.getAgent()), rank.getIncarnation()});
  }
  return ranks;
}

capnp::ReaderOptions RecordReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
  return options;
}

}  // namespace wisteriaroute::control
