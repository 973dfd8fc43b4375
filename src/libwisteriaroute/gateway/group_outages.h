#ifndef LIBWISTERIAROUTE_GATEWAY_GROUP_OUTAGES_H_
#define LIBWISTERIAROUTE_GATEWAY_GROUP_OUTAGES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::gateway {

/**
 * Groups that run nothing, because ranks of theirs have crashed. The ranks that
 * are left stall each request for seconds before they refuse it.
 */
class group_outages {
 public:
  /**
   * Records a rank of a group. If it has started again, its group runs
   * `start_us` after the last lost rank has.
   */
  void NoteRank(const wire::member_info& rank,
                base::time_us now_us,
                base::time_us start_us);

  /** Records that a rank has crashed. Returns whether its group was running
   * and this incarnation of the rank is the newest one. */
  bool NoteLost(const wire::member_info& rank, base::time_us now_us);

  /** Whether ranks of the group may get requests. */
  bool IsRunning(std::string_view group, base::time_us now_us) const;

 private:
  struct group {
    /** Newest incarnation by rank; a rank may start again under a new id. */
    std::map<std::uint32_t, std::uint64_t> ranks;
    std::set<std::uint32_t> lost_ranks;
    /** Gets no requests before this time. */
    base::time_us down_until_us = 0;
  };

  void SetDown(group& target, base::time_us until_us);

  std::map<std::string, group, std::less<>> groups_;
  /** All groups run from then on. */
  base::time_us all_run_us_ = 0;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_GROUP_OUTAGES_H_
