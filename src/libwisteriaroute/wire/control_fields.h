#ifndef LIBWISTERIAROUTE_WIRE_CONTROL_FIELDS_H_
#define LIBWISTERIAROUTE_WIRE_CONTROL_FIELDS_H_

#include <control.capnp.h>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::wire {

// Codecs of the aggregates that log records and snapshots contain as well.

void WriteFields(const member_info& from, proto::MemberInfo::Builder to);
member_info ReadFields(proto::MemberInfo::Reader from);

void WriteFields(const config_object& from, proto::ConfigObject::Builder to);
config_object ReadFields(proto::ConfigObject::Reader from);

void WriteFields(const object_name& from, proto::ObjectName::Builder to);
object_name ReadFields(proto::ObjectName::Reader from);

void WriteFields(const config_update& from, proto::ConfigUpdate::Builder to);
config_update ReadFields(proto::ConfigUpdate::Reader from);

void WriteFields(const quarantine_entry& from,
                 proto::QuarantineEntry::Builder to);
quarantine_entry ReadFields(proto::QuarantineEntry::Reader from);

void WriteFields(const suspect_request& from,
                 proto::SuspectRequest::Builder to);
suspect_request ReadFields(proto::SuspectRequest::Reader from);

void WriteFields(const crash_reports& from, proto::CrashReports::Builder to);
crash_reports ReadFields(proto::CrashReports::Reader from);

void WriteFields(const answers_begun& from, proto::AnswersBegun::Builder to);
answers_begun ReadFields(proto::AnswersBegun::Reader from);

void WriteFields(const claim_target& from, proto::ClaimTarget::Builder to);
claim_target ReadFields(proto::ClaimTarget::Reader from);

void WriteFields(const recorded_response& from,
                 proto::RecordedResponse::Builder to);
recorded_response ReadFields(proto::RecordedResponse::Reader from);

void WriteFields(const claim_request& from, proto::ClaimRequest::Builder to);
claim_request ReadFields(proto::ClaimRequest::Reader from);

void WriteFields(const claim_move& from, proto::ClaimMove::Builder to);
claim_move ReadFields(proto::ClaimMove::Reader from);

void WriteFields(const claim_outcome& from, proto::ClaimOutcome::Builder to);
claim_outcome ReadFields(proto::ClaimOutcome::Reader from);

void WriteFields(const expert_map& from, proto::ExpertMap::Builder to);
expert_map ReadFields(proto::ExpertMap::Reader from);

void WriteFields(const order& from, proto::Order::Builder to);
order ReadFields(proto::Order::Reader from);

void WriteFields(const publish_document& from, proto::Document::Builder to);
publish_document ReadFields(proto::Document::Reader from);
void WriteFields(const report_server& from, proto::ServerReport::Builder to);
report_server ReadFields(proto::ServerReport::Reader from);
void WriteFields(const publish_request& from,
                 proto::PublishRequest::Builder to);
publish_request ReadFields(proto::PublishRequest::Reader from);

/** Writes each element with WriteFields. `to` must have the same size. */
template <typename List, typename Vector>
void WriteList(const Vector& from, List to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    WriteFields(from[i], to[i]);
  }
}

/** Reads each element with ReadFields. */
template <typename Item, typename List>
std::vector<Item> ReadList(List from) {
  std::vector<Item> items;
  items.reserve(from.size());
  for (const auto item : from) {
    items.push_back(ReadFields(item));
  }
  return items;
}

/** Element count in the type that Cap'n Proto's init functions take. */
template <typename Vector>
unsigned Count(const Vector& items) {
  return static_cast<unsigned>(items.size());
}

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_CONTROL_FIELDS_H_
