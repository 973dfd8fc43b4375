#ifndef LIBWISTERIAROUTE_POLICY_SERVER_CAPACITY_H_
#define LIBWISTERIAROUTE_POLICY_SERVER_CAPACITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * Estimate of how many concurrent requests a server handles before its response
 * time exceeds that of its peers. Slowness is the logarithm of a response time
 * over the usual response time of the route, so requests of different routes
 * are comparable.
 */
struct server_capacity {
  /** Sums over the recent samples, decayed with a half-life. */
  double slowness_sum = 0;
  double load_sum = 0;
  double weight = 0;
  base::time_us at_us = 0;
  /** Limit of concurrent requests; 0: none but the declared slots. */
  double limit = 0;
  /** No probe is due before this time. */
  base::time_us probe_due_us = 0;
  /** Limit that was last logged, and when. */
  double logged_limit = 0;
  base::time_us logged_us = 0;
};

/** What an entry knows of the servers of one service together. */
struct peer_capacity {
  struct route_time {
    /** Logarithm of the usual response time in ms. */
    double log_ms = 0;
    double responses = 0;
  };
  std::map<std::string, route_time, std::less<>> routes;
  /** Median of the mean slowness of the servers. */
  double median = 0;
  base::time_us median_at_us = 0;
  /** Variance of the slowness of single samples of one server. */
  double variance = 0;
  double variance_samples = 0;
  /** Number of probes that may be sent. */
  double probe_credit = 1;
};

/** A response, or a request that has been running for long. */
struct capacity_sample {
  std::string_view route;
  double elapsed_ms = 0;
  /** Concurrent requests at the server, this one included. */
  double load = 1;
  /** Declared slots of the server. */
  double slots = 1;
  /** Whether the request is still in progress. */
  bool in_progress = false;
};

/** Records a sample of the server and adjusts its limit. */
void NoteSample(server_capacity& server,
                peer_capacity& peers,
                const capacity_sample& sample,
                base::time_us now_us);

/** Records that the server refused a request while it had `load` others, as far
 * as it reported that. */
void NoteRefusal(server_capacity& server,
                 std::optional<double> load,
                 double slots,
                 base::time_us now_us);

/** Records that the server failed to answer a request. */
void NoteFailure(server_capacity& server, double slots, base::time_us now_us);

/** Concurrent requests that the server handles well, at most `slots`. Equals
 * `slots` if there have been no samples for some seconds. */
double SlotsHandledWell(const server_capacity& server,
                        double slots,
                        base::time_us now_us);

/** Whether the median should be computed again. */
bool IsMedianDue(const peer_capacity& peers, base::time_us now_us);

/** Mean slowness of the server; nothing without recent samples. */
std::optional<double> Slowness(const server_capacity& server,
                               base::time_us now_us);

/** Sets the median from the slowness of all servers; reorders the values. */
void SetMedian(peer_capacity& peers,
               std::span<double> slowness,
               base::time_us now_us);

/** Response time of the route that most servers have now; nothing if too few
 * responses are known. */
std::optional<double> UsualMs(const peer_capacity& peers,
                              std::string_view route);

/** Response time of the route that the server is expected to have. */
std::optional<double> ExpectedMs(const server_capacity& server,
                                 const peer_capacity& peers,
                                 std::string_view route,
                                 base::time_us now_us);

/** Records a new request of the service, a fraction of which may be probes. */
void NoteRequest(peer_capacity& peers);

/** Whether the next request may be a probe. */
bool MayProbe(const peer_capacity& peers);

/**
 * Whether a request should be sent to a limited server regardless of its limit,
 * to notice when it recovers.
 */
bool IsProbeDue(const server_capacity& server,
                const peer_capacity& peers,
                base::time_us now_us);

/** Records that a request was sent to the server, in place of a probe or as
 * one. */
void NoteSent(server_capacity& server,
              peer_capacity& peers,
              bool is_probe,
              std::uint64_t random,
              base::time_us now_us);

/** Whether the limit has changed by a quarter since this last returned true, at
 * most once in a second. */
bool TakeChange(server_capacity& server, double slots, base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_SERVER_CAPACITY_H_
