#ifndef LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_
#define LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_

#include <command.capnp.h>
#include <control.capnp.h>

#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/control/group_table.h"
#include "libwisteriaroute/wire/control_messages.h"

// Fields that commands and snapshots share.

namespace wisteriaroute::control {

std::string ReadText(capnp::Text::Reader text);

void WriteField(const wire::claim_target& from,
                proto::ClaimTarget::Builder to);
wire::claim_target ReadField(proto::ClaimTarget::Reader from);

void WriteField(const wire::recorded_response& from,
                proto::RecordedResponse::Builder to);
wire::recorded_response ReadField(proto::RecordedResponse::Reader from);

void WriteField(const wire::expert_map& from, proto::ExpertMap::Builder to);
wire::expert_map ReadField(proto::ExpertMap::Reader from);

void WriteField(const std::vector<wire::config_object>& from,
                capnp::List<proto::ConfigObject>::Builder to);
std::vector<wire::config_object> ReadField(
    capnp::List<proto::ConfigObject>::Reader from);

void WriteField(const std::vector<wire::object_name>& from,
                capnp::List<proto::ObjectName>::Builder to);
std::vector<wire::object_name> ReadField(
    capnp::List<proto::ObjectName>::Reader from);

void WriteField(const std::vector<group_rank>& from,
                capnp::List<proto::GroupRank>::Builder to);
std::vector<group_rank> ReadField(capnp::List<proto::GroupRank>::Reader from);

/** Parses a message of any size; the log's own checksums guard the bytes. */
capnp::ReaderOptions RecordReaderOptions();

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_
