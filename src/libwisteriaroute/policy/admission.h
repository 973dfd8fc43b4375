#ifndef LIBWISTERIAROUTE_POLICY_ADMISSION_H_
#define LIBWISTERIAROUTE_POLICY_ADMISSION_H_

#include <cstddef>

namespace wisteriaroute::policy {

/** What an entry knows of a queue when it admits a request to it. */
struct queue_load {
  std::size_t waiting = 0;
  /** Recent completions per second; 0 if there were none. */
  double finished_per_s = 0;
  /** Mean time from dispatch to the end of the answer; 0 if unknown. */
  double run_us = 0;
};

/** Expected time until the queue's present requests are dispatched. */
double DrainSeconds(const queue_load& load);

/** Whether a request with this much time left probably finishes in it. */
bool CanMeetDeadline(const queue_load& load, double left_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_ADMISSION_H_
