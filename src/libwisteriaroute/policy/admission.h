#ifndef LIBWISTERIAROUTE_POLICY_ADMISSION_H_
#define LIBWISTERIAROUTE_POLICY_ADMISSION_H_

#include <cstddef>

namespace wisteriaroute::policy {

/** State of a request queue as an entry sees it when it admits a request. */
struct queue_load {
  std::size_t waiting = 0;
  /** Recent completions per second; 0 if none were observed. */
  double completions_per_s = 0;
  /** Mean time from dispatch to the end of the response; 0 if unknown. */
  double mean_run_us = 0;
};

/**
 * Expected time until the requests now in the queue are dispatched; 1 s if the
 * completion rate is unknown.
 */
double DrainSeconds(const queue_load& load);

/**
 * Whether a request that joins the queue is expected to finish within
 * `remaining_us`. True if the queue is empty or its completion rate is unknown.
 */
bool CanMeetDeadline(const queue_load& load, double remaining_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_ADMISSION_H_
