#ifndef LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_
#define LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_

#include <optional>

#include "libwisteriaroute/control/departure_table.h"
#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

/**
 * A server's run with a lower incarnation becomes the current one if it goes on
 * to report for this long while the known run is silent. Longer than servers
 * leave between two reports.
 */
inline constexpr base::time_us kRunSilenceUs = 2'500'000;

/**
 * Records the report of a backend server without an agent and notifies the
 * entries of changes. Reports of an older incarnation or without a higher
 * sequence number are ignored. A goodbye has no sequence number. Returns false
 * if the server says that it leaves and it isn't known yet whether that is its
 * current run; it must not be acknowledged then. `state.leadership` must be
 * set.
 */
bool HandleServerReport(replica_state& state,
                        const wire::report_server& report,
                        const step_time& now,
                        replica_effects& out);

/**
 * The departure that the log must hold before an accepted report is
 * acknowledged, so that it outlives this leader; nothing if the report tells of
 * none or the log holds it already. `state.leadership` must be set.
 */
std::optional<departure_command> FindUnrecordedDeparture(
    const replica_state& state,
    const wire::report_server& report,
    const step_time& now);

/**
 * Marks the run as leaving if this leader knows it as current, as it may if
 * another leader had proposed the command. `state.leadership` must be set.
 */
void HandleDeparture(replica_state& state,
                     const departure_command& departure,
                     const step_time& now,
                     replica_effects& out);

/**
 * Tells all entries but the one that reported it that a server has crashed,
 * once for each incarnation. `state.leadership` must be set.
 */
void HandleServerCrash(replica_state& state,
                       net::link_id reporter,
                       const wire::server_crash& crash,
                       replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_
