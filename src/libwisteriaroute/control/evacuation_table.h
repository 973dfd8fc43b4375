#ifndef LIBWISTERIAROUTE_CONTROL_EVACUATION_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_EVACUATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/evacuation_messages.h"

namespace wisteriaroute::control {

/** The end of the last evacuation of a data centre. */
struct evacuation_end {
  /** Log index of the order. */
  std::uint64_t index = 0;
  /** Log time. */
  base::time_ms time_ms = 0;

  bool operator==(const evacuation_end&) const = default;
};

/** The evacuated data centres; part of the replicated state. */
struct evacuation_table {
  /** Log index of the last order that changed the list. */
  std::uint64_t index = 0;
  std::set<std::string, std::less<>> data_centers;
  /** Evacuations that ended within kEvacuationEndKeptMs. */
  std::map<std::string, evacuation_end, std::less<>> ended;

  bool operator==(const evacuation_table&) const = default;
};

/**
 * Time for which the end of an evacuation is announced to entries that didn't
 * see it. Servers are cold for minutes at most.
 */
inline constexpr base::time_ms kEvacuationEndKeptMs = 3'600'000;
/** Bounds the list that each update to entries carries. */
inline constexpr std::size_t kMaxEvacuatedDataCenters = 256;
inline constexpr std::size_t kMaxDataCenterBytes = 255;

/** Applies a committed order. Returns whether it changed the list. */
bool ApplyEvacuation(evacuation_table& table,
                     const wire::evacuation_order& order,
                     std::uint64_t index,
                     base::time_ms time_ms);

/** Removes ends that are no longer announced. */
void ExpireEvacuationEnds(evacuation_table& table, base::time_ms time_ms);

/** Whether the data centre is evacuated or was until recently. */
bool IsKnown(const evacuation_table& table, std::string_view data_center);

/** The list for entries. */
wire::evacuation_list EvacuationList(const evacuation_table& table,
                                     base::time_ms wall_ms);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_EVACUATION_TABLE_H_
