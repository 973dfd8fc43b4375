#include "libwisteriaroute/control/departure_table.h"

#include <algorithm>
#include <limits>

namespace wisteriaroute::control {

bool RecordDeparture(departure_table& table,
                     const departure_command& departure,
                     base::time_ms time_ms) {
  const bool added =
      table.runs.try_emplace({departure.name, departure.incarnation}, time_ms)
          .second;
  if (table.runs.size() > kMaxDepartures) {
    table.runs.erase(std::ranges::min_element(
        table.runs, {}, [](const auto& item) { return item.second; }));
  }
  return added;
}

void ExpireDepartures(departure_table& table, base::time_ms time_ms) {
  std::erase_if(table.runs, [&](const auto& item) {
    return item.second + kDepartureKeptMs <= time_ms;
  });
}

bool HasDeparted(const departure_table& table,
                 const std::string& name,
                 std::uint64_t incarnation) {
  return table.runs.contains({name, incarnation});
}

std::optional<std::uint64_t> LastDeparted(const departure_table& table,
                                          const std::string& name) {
  const auto after =
      table.runs.upper_bound({name, std::numeric_limits<std::uint64_t>::max()});
  if (after == table.runs.begin() || std::prev(after)->first.first != name) {
    return std::nullopt;
  }
  return std::prev(after)->first.second;
}

}  // namespace wisteriaroute::control
