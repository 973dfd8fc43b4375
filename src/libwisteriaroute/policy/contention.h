#ifndef LIBWISTERIAROUTE_POLICY_CONTENTION_H_
#define LIBWISTERIAROUTE_POLICY_CONTENTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** A sum in which older contributions count less, by a half-life. */
class decayed_sum {
 public:
  void Add(double amount, base::time_us half_life_us, base::time_us now_us);
  double Value(base::time_us half_life_us, base::time_us now_us) const;

 private:
  double sum_ = 0;
  base::time_us at_us_ = 0;
};

/** A request that competes for the capacity of a service. */
struct contender {
  /** Lower values are more urgent. */
  int urgency = 0;
  /** Kind of the request, for instance its route. */
  std::string_view kind;
  std::string_view workspace;
};

/** Urgency of a request: the workspace's priority counts before the route's. */
int UrgencyOf(int priority, int route_priority);

/** Requests of a kind or workspace, and how many of them were admitted. */
struct admission_share {
  decayed_sum offered;
  decayed_sum admitted;
};

/** Requests of one urgency. */
struct urgency_level {
  decayed_sum demand;
  /** Requests that may still be admitted, of those that have arrived. */
  double credit = 0;
};

/**
 * What an entry knows of the competition for the capacity of one service.
 * Everything is measured at this entry: the callers of a service spread over
 * all entries, so the proportions are those of the whole service.
 */
struct contention {
  std::map<int, urgency_level> levels;
  decayed_sum admitted;
  /** Time at which a request last found no capacity at all; 0: never. */
  base::time_us last_full_us = 0;
  admission_share all;
  std::map<std::string, admission_share, std::less<>> kinds;
  std::map<std::string, admission_share, std::less<>> workspaces;
  /** Times that were given to refused callers, in order, by urgency. */
  std::map<int, std::deque<base::time_us>> return_times;
};

/** Records a request before it is admitted or refused. */
void NoteDemand(contention& state,
                const contender& request,
                base::time_us now_us);
void NoteAdmitted(contention& state,
                  const contender& request,
                  base::time_us now_us);
/** Records that a request found no capacity. */
void NoteFull(contention& state, base::time_us now_us);

/**
 * Whether the request may compete for capacity. While requests find the service
 * full, those of a less urgent level are thinned to the rate that more urgent
 * ones leave of what is admitted, so that the latter find capacity. Requests of
 * a kind or workspace that is admitted much less often than others may always
 * compete. Call it once for each request.
 */
bool MayCompete(contention& state,
                const contender& request,
                base::time_us now_us);

/**
 * Time after which the caller of a refused request may return: the callers that
 * are told to return are spread over the capacity that becomes free, at most a
 * third of the caller's remaining time. `random` spreads those beyond.
 */
base::time_ms ReturnDelayMs(contention& state,
                            const contender& request,
                            base::time_ms remaining_ms,
                            std::uint64_t random,
                            base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_CONTENTION_H_
