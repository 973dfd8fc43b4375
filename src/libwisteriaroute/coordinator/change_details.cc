#include "libwisteriaroute/coordinator/change_details.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>

namespace wisteriaroute::coordinator {

void SortByCopies(std::vector<rank_view*>& ranks,
                  std::span<const wire::placement_edit> edits) {
  std::map<std::uint32_t, std::size_t> copies;
  for (const wire::placement_edit& edit : edits) {
    copies[edit.rank] += edit.added.size();
  }
  std::ranges::stable_sort(ranks, std::greater(),
                           [&](const rank_view* view) -> std::size_t {
                             const auto found = copies.find(view->status.rank);
                             return found == copies.end() ? 0 : found->second;
                           });
}

log_event EndedEvent(const std::string& group,
                     const rank_map_change& change,
                     base::time_us now_us) {
  log_event event{.kind = "map_change_ended",
                  .group = group,
                  .detail = "version " + std::to_string(change.version) +
                            " copies " + std::to_string(change.copies) +
                            " skew " + std::to_string(change.skew_before) +
                            " to " + std::to_string(change.planned_skew)};
  base::time_us last_us =
      change.shift_us != 0 ? change.shift_us : change.started_us;
  const auto stage = [&](const char* name, base::time_us at_us) {
    if (at_us != 0) {
      event.stages.emplace_back(name, at_us - last_us);
      last_us = at_us;
    }
  };
  if (change.shift_us != 0) {
    stage("plan", change.started_us);
  }
  stage("prepare", change.prepared_us);
  stage("hold", change.held_us);
  stage("arm", change.armed_us);
  stage("switch", now_us);
  event.stages.emplace_back("total", now_us - change.started_us);
  return event;
}

}  // namespace wisteriaroute::coordinator
