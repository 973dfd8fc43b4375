#ifndef LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_
#define LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_

#include <capnp/message.h>
#include <command.capnp.h>

#include <vector>

#include "libwisteriaroute/control/group_table.h"
#include "libwisteriaroute/wire/control_fields.h"

namespace wisteriaroute::control {

// Serialization shared by commands and snapshots.

void WriteRanks(const std::vector<group_rank>& from,
                capnp::List<proto::GroupRank>::Builder to);
std::vector<group_rank> ReadRanks(capnp::List<proto::GroupRank>::Reader from);

/** Without a size limit; the checksums of the log protect the records. */
capnp::ReaderOptions RecordReaderOptions();

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_RECORD_FIELDS_H_
