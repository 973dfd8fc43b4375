#ifndef LIBWISTERIAROUTE_WIRE_EVACUATION_FIELDS_H_
#define LIBWISTERIAROUTE_WIRE_EVACUATION_FIELDS_H_

#include <control.capnp.h>

#include "libwisteriaroute/wire/evacuation_messages.h"

namespace wisteriaroute::wire {

void WriteFields(const evacuation_order& from,
                 proto::EvacuationOrder::Builder to);
evacuation_order ReadFields(proto::EvacuationOrder::Reader from);

void WriteFields(const evacuation_list& from,
                 proto::EvacuationList::Builder to);
evacuation_list ReadFields(proto::EvacuationList::Reader from);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_EVACUATION_FIELDS_H_
