#ifndef LIBWISTERIAROUTE_COORDINATOR_CHANGE_DETAILS_H_
#define LIBWISTERIAROUTE_COORDINATOR_CHANGE_DETAILS_H_

#include <span>
#include <string>
#include <vector>

#include "libwisteriaroute/coordinator/coordinator.h"

namespace wisteriaroute::coordinator {

/** Sorts by the number of experts to copy, most first: sending the orders to
 * all ranks takes time, in which the first ones copy already. */
void SortByCopies(std::vector<rank_view*>& ranks,
                  std::span<const wire::placement_edit> edits);

/** The line and the durations of the stages of a change that is complete. */
log_event EndedEvent(const std::string& group,
                     const rank_map_change& change,
                     base::time_us now_us);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_CHANGE_DETAILS_H_
