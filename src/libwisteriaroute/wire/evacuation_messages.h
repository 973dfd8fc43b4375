#ifndef LIBWISTERIAROUTE_WIRE_EVACUATION_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_EVACUATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriaroute::wire {

/** Operator to control: starts or ends the evacuation of a data centre. */
struct evacuation_order {
  std::string data_center;
  bool evacuated = true;

  bool operator==(const evacuation_order&) const = default;
};

struct ended_evacuation {
  std::string data_center;
  /** Log index of the order that ended it. */
  std::uint64_t index = 0;
  /** Time since it ended. */
  std::int64_t age_ms = 0;

  bool operator==(const ended_evacuation&) const = default;
};

/** Control to entries: the complete list of evacuated data centres. */
struct evacuation_list {
  /**
   * Log index of the last order that changed the list; 0: none. A receiver
   * ignores a list with a lower index than one that it has applied.
   */
  std::uint64_t index = 0;
  std::vector<std::string> data_centers;
  /** Evacuations that ended recently. */
  std::vector<ended_evacuation> ended;

  bool operator==(const evacuation_list&) const = default;
};

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_EVACUATION_MESSAGES_H_
