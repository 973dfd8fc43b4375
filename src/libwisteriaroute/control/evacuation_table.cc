#include "libwisteriaroute/control/evacuation_table.h"

#include <algorithm>

namespace wisteriaroute::control {

bool ApplyEvacuation(evacuation_table& table,
                     const wire::evacuation_order& order,
                     std::uint64_t index,
                     base::time_ms time_ms) {
  if (order.evacuated) {
    if (!table.data_centers.insert(order.data_center).second) {
      return false;
    }
    table.ended.erase(order.data_center);
  } else {
    if (table.data_centers.erase(order.data_center) == 0) {
      return false;
    }
    table.ended[order.data_center] = {.index = index, .time_ms = time_ms};
  }
  table.index = index;
  return true;
}

void ExpireEvacuationEnds(evacuation_table& table, base::time_ms time_ms) {
  std::erase_if(table.ended, [&](const auto& item) {
    return item.second.time_ms + kEvacuationEndKeptMs <= time_ms;
  });
}

bool IsKnown(const evacuation_table& table, std::string_view data_center) {
  return table.data_centers.contains(data_center) ||
         table.ended.contains(data_center);
}

wire::evacuation_list EvacuationList(const evacuation_table& table,
                                     base::time_ms wall_ms) {
  wire::evacuation_list list{
      .index = table.index,
      .data_centers = {table.data_centers.begin(), table.data_centers.end()}};
  for (const auto& [data_center, end] : table.ended) {
    // The clock of a new leader may be behind that of the previous one.
    list.ended.push_back(
        {.data_center = data_center,
         .index = end.index,
         .age_ms = std::max<base::time_ms>(0, wall_ms - end.time_ms)});
  }
  return list;
}

}  // namespace wisteriaroute::control
