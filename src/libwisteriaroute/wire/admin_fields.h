#ifndef LIBWISTERIAROUTE_WIRE_ADMIN_FIELDS_H_
#define LIBWISTERIAROUTE_WIRE_ADMIN_FIELDS_H_

#include <control.capnp.h>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::wire {

void WriteFields(const admin_request& from, proto::AdminRequest::Builder to);
admin_request ReadFields(proto::AdminRequest::Reader from);

void WriteFields(const admin_reply& from, proto::AdminReply::Builder to);
admin_reply ReadFields(proto::AdminReply::Reader from);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_ADMIN_FIELDS_H_
