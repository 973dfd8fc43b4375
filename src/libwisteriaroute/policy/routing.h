#ifndef LIBWISTERIAROUTE_POLICY_ROUTING_H_
#define LIBWISTERIAROUTE_POLICY_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace wisteriaroute::policy {

/** What an entry knows of one backend server when it routes a request. */
struct routing_candidate {
  /** From the last load report; `slots` is 0 if there was none. */
  std::uint32_t reported_queued = 0;
  std::uint32_t reported_running = 0;
  std::uint32_t slots = 0;
  std::uint32_t step_time_us = 0;
  /** Attempts of this entry there: all, and those sent since the report. */
  std::uint32_t in_flight = 0;
  std::uint32_t sent_since_report = 0;
  bool same_data_center = false;
  bool same_region = false;
  /** Failures in a row; 0 for a healthy server. */
  std::uint32_t failures = 0;
  /** Prompt tokens that the server probably has in its prefix cache. */
  std::uint32_t cached_tokens = 0;
};

struct routing_request {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t expected_tokens = 0;
};

/** Requests that run or wait at the server, as far as this entry can tell. */
std::uint32_t Occupancy(const routing_candidate& candidate);

/** Whether the server takes another request without a long queue there. */
bool HasRoom(const routing_candidate& candidate);

/** Expected time to the first token in microseconds. */
double ExpectedWaitUs(const routing_candidate& candidate,
                      const routing_request& request);

/**
 * Index of a candidate with room whose expected wait is the least or near it;
 * `random` selects among near-equal ones. Nothing if none has room.
 */
std::optional<std::size_t> Choose(std::span<const routing_candidate> candidates,
                                  const routing_request& request,
                                  std::uint64_t random);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_ROUTING_H_
