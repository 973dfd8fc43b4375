#ifndef LIBWISTERIAROUTE_GATEWAY_SERVERS_H_
#define LIBWISTERIAROUTE_GATEWAY_SERVERS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/gateway/group_outages.h"
#include "libwisteriaroute/gateway/messages.h"
#include "libwisteriaroute/member/evacuation_view.h"
#include "libwisteriaroute/policy/server_capacity.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::gateway {

/** State of a backend server as this entry knows it. */
struct server {
  wire::member_info info;
  /** Attempts of this entry in progress at the server. */
  std::int64_t in_flight = 0;
  /** Requests of other entries at the server, from its last load report. */
  double other_requests = 0;
  /** Time of the last load report; 0 if there was none. */
  base::time_us load_reported_us = 0;
  /** Consecutive failures since the last success. */
  int failures = 0;
  /** Gets no new request before this time, because of failures or refusals. */
  base::time_us suspended_until_us = 0;
  /** Gets no new request before this time, at the server's own request; 0 if it
   * never asked for a pause. */
  base::time_us paused_until_us = 0;
  /** Responses received since the pause. */
  int responses_after_pause = 0;
  /** Concurrent requests that the server handles well. */
  policy::server_capacity capacity;
};

/**
 * Mean load of the servers of a pool, from the recent load reports of any of
 * them. Where there are many entries, a single entry receives reports of each
 * server too rarely to know its load.
 */
struct pool_load {
  double requests_sum = 0;
  /** Number of load reports, decayed with the half-life kPoolHalfLifeUs. */
  double weight = 0;
  base::time_us at_us = 0;
};

inline constexpr base::time_us kPoolHalfLifeUs = 400'000;

/** How an attempt ended, as far as it concerns the health of its server. */
enum class attempt_verdict { kGood, kBusy, kFailed, kUnreachable, kReplaced };

/** The backend servers announced by control, by id. */
class server_table {
 public:
  /**
   * Applies an update from control. Returns the servers that it newly marks as
   * leaving and that are still in the table. A group runs `group_start_us`
   * after its last lost rank is back.
   */
  std::vector<const server*> Update(const wire::member_update& update,
                                    base::time_us now_us,
                                    base::time_us group_start_us);

  /** Servers of a service that may get new requests, in order of id: neither
   * leaving nor evacuated nor suspended nor paused, nor in a group that has
   * lost a rank unless all groups have. */
  std::vector<server*> Usable(std::string_view service, base::time_us now_us);

  /** Whether the service has any server that is neither leaving nor evacuated.
   */
  bool HasAny(std::string_view service) const;

  /** Whether the service has a server that is only kept from use because it is
   * evacuated. */
  bool HasEvacuated(std::string_view service) const;

  /** Applies the list of evacuated data centres unless it is outdated. */
  member::evacuation_view::changes UpdateEvacuations(
      const wire::evacuation_list& list,
      base::time_us now_us) {
    return evacuations_.Apply(list, now_us);
  }
  /** Whether the server's data centre is evacuated. */
  bool IsEvacuated(const server& one) const {
    return evacuations_.IsEvacuated(one.info.data_center);
  }
  /** The evacuated data centres. */
  const std::set<std::string, std::less<>>& evacuated() const {
    return evacuations_.data_centers();
  }
  /** When the last evacuation of the data centre ended; nothing during an
   * evacuation or if none has ended recently. */
  std::optional<base::time_us> EvacuationEndedUs(
      std::string_view data_center) const {
    return evacuations_.EndedUs(data_center);
  }

  /**
   * Earliest end of a pause among the servers of the service. Returns nothing
   * if a server isn't paused or there are no servers; servers that leave or are
   * evacuated don't count.
   */
  std::optional<base::time_us> FirstPauseEnd(std::string_view service,
                                             base::time_us now_us) const;

  /** Estimated number of requests at all servers of a pool that aren't
   * evacuated, and how many of the servers are neither leaving nor paused. */
  struct total_load {
    double requests = 0;
    std::size_t servers = 0;
  };
  total_load TotalLoad(std::string_view pool, base::time_us now_us) const;

  /** Estimated number of requests that run or wait at the server. */
  double Load(const server& target, base::time_us now_us) const;

  /** The server with this id, or null if there is none. */
  server* Find(std::string_view id);

  /** Records a load report of the server. */
  void NoteLoad(server& target, const server_load& load, base::time_us now_us);
  /** Updates the failure count of the server and suspends it if necessary. */
  void NoteVerdict(server& target,
                   attempt_verdict verdict,
                   base::time_us now_us);
  /** Marks this incarnation of the server as leaving. Later updates from
   * control don't undo this. */
  void NoteLeaving(server& target);
  /**
   * Records that a server has crashed. Returns whether this stops its group,
   * which has been running until now.
   */
  bool NoteCrash(std::string_view id,
                 std::uint64_t incarnation,
                 base::time_us now_us);
  /** Pauses the server until `until_us`; never shortens a current pause. */
  void NotePause(server& target, base::time_us until_us);

  std::size_t size() const { return servers_.size(); }
  const std::map<std::string, server, std::less<>>& all() const {
    return servers_;
  }

 private:
  /** Whether a group of the service, or a server outside of groups, runs. */
  bool HasRunningGroup(std::string_view service, base::time_us now_us) const;

  /** Mean load of the servers of a pool; nothing if there are too few recent
   * reports. */
  std::optional<double> MeanLoad(std::string_view pool,
                                 base::time_us now_us) const;

  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, pool_load, std::less<>> pools_;
  group_outages outages_;
  member::evacuation_view evacuations_;
  /** Ids and incarnations of servers that have announced that they leave, so
   * that late updates don't make them usable again. */
  std::set<std::pair<std::string, std::uint64_t>> leaving_incarnations_;
};

/**
 * Name of the pool of servers that share a stream limit. The ranks of a group
 * run in lockstep, and each group has its own passes and shifts of demand, so
 * each group is a pool. All other servers of a service form one pool.
 */
const std::string& PoolOf(const wire::member_info& server);

/** Slots that the server declares, or a default. */
double DeclaredSlots(const server& one);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_SERVERS_H_
