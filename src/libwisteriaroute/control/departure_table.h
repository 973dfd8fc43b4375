#ifndef LIBWISTERIAROUTE_CONTROL_DEPARTURE_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_DEPARTURE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::control {

/** A run of a backend server has said that it leaves or is gone. */
struct departure_command {
  /** Id of the server. */
  std::string name;
  /** The run, as the server reports it: Unix ms of its start. */
  std::uint64_t incarnation = 0;

  bool operator==(const departure_command&) const = default;
};

/**
 * Runs of backend servers that have left; part of the replicated state. A
 * report of such a run that arrives late, at whichever leader, doesn't make its
 * server available again.
 */
struct departure_table {
  /** Log time of the departure, by server and incarnation. */
  std::map<std::pair<std::string, std::uint64_t>, base::time_ms> runs;

  bool operator==(const departure_table&) const = default;
};

/** Longer than a report can be held up by a partition. */
inline constexpr base::time_ms kDepartureKeptMs = 86'400'000;
/** Bounds memory. 380 servers leave in a day of the largest deployment. */
inline constexpr std::size_t kMaxDepartures = 16'384;

/** Applies a committed command. Returns whether it changed the table. */
bool RecordDeparture(departure_table& table,
                     const departure_command& departure,
                     base::time_ms time_ms);

/** Removes departures that no report can contradict any more. */
void ExpireDepartures(departure_table& table, base::time_ms time_ms);

bool HasDeparted(const departure_table& table,
                 const std::string& name,
                 std::uint64_t incarnation);

/** The highest incarnation of the server that has left, if any has. */
std::optional<std::uint64_t> LastDeparted(const departure_table& table,
                                          const std::string& name);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_DEPARTURE_TABLE_H_
