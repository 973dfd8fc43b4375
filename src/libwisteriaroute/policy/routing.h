#ifndef LIBWISTERIAROUTE_POLICY_ROUTING_H_
#define LIBWISTERIAROUTE_POLICY_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace wisteriaroute::policy {

/** State of a backend server as an entry sees it when it routes a request. */
struct routing_candidate {
  /** Values from the last load report; `slots` is 0 if there was none. */
  std::uint32_t reported_queued = 0;
  std::uint32_t reported_running = 0;
  std::uint32_t slots = 0;
  std::uint32_t step_time_us = 0;
  /** Attempts of this entry at the server: all of them, and those sent since
   * the last load report. */
  std::uint32_t in_flight = 0;
  std::uint32_t sent_since_report = 0;
  bool same_data_center = false;
  bool same_region = false;
  /** Consecutive failures; 0 for a healthy server. */
  std::uint32_t failures = 0;
  /** Prompt tokens that the server probably has in its prefix cache. */
  std::uint32_t cached_tokens = 0;
};

struct routing_request {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t expected_tokens = 0;
};

/** Estimated number of requests that run or wait at the server. */
std::uint32_t Occupancy(const routing_candidate& candidate);

/** Whether the server can take another request without building a long queue.
 */
bool HasRoom(const routing_candidate& candidate);

/** Expected time to the first token in microseconds. */
double ExpectedWaitUs(const routing_candidate& candidate,
                      const routing_request& request);

/**
 * Returns the index of a candidate with room whose expected wait is the
 * shortest or close to it; `random` selects among near-equal ones. Returns
 * nothing if no candidate has room.
 */
std::optional<std::size_t> Choose(std::span<const routing_candidate> candidates,
                                  const routing_request& request,
                                  std::uint64_t random);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_ROUTING_H_
