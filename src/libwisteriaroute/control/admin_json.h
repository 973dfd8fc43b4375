#ifndef LIBWISTERIAROUTE_CONTROL_ADMIN_JSON_H_
#define LIBWISTERIAROUTE_CONTROL_ADMIN_JSON_H_

#include <string>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// JSON responses of the leader to operators.

/** `{revision, objects: [{kind, name, body}]}`; `body` is a JSON value. */
std::string ConfigJson(const replica_state& state);

/**
 * `{revision, in_force, in_force_everywhere, leader, term, evacuated: [...],
 * processes: [...]}`;
 * `in_force` is null while it is unknown.
 */
std::string StatusJson(const replica_state& state, base::time_us now_us);

/** `{revisions: [{revision, operation_id, time_ms, changed, removed}]}`. */
std::string HistoryJson(const replica_state& state);

/** `{groups: [{name, generation, phase, epoch, ranks: [...], ...}]}`. */
std::string GroupsJson(const replica_state& state);

/** `{entries: [{fingerprint, state, crashes, since_ms}]}`. */
std::string QuarantineJson(const replica_state& state);

/** `{replicas: [...], members: [...], drained: [...]}`. */
std::string MembersJson(const replica_state& state, base::time_us now_us);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_ADMIN_JSON_H_
