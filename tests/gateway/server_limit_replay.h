#ifndef TESTS_GATEWAY_SERVER_LIMIT_REPLAY_H_
#define TESTS_GATEWAY_SERVER_LIMIT_REPLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

/** A simulated server. Up to `knee` requests run at full speed; more share the
 * speed of `knee`. */
struct replay_server {
  int slots = 6;
  double speed = 1;
  double knee = 6;
  /** Refuses beyond this number, whatever it declares; 0: at its slots and two
   * that wait. */
  int refuses_beyond = 0;
  /** Fraction of requests that are answered with status 500 at once. */
  double failing = 0;
};

/** A change of the servers at a time from the start. */
struct replay_change {
  double at_s = 0;
  std::function<void(std::vector<replay_server>&)> apply;
};

struct replay_plan {
  std::vector<replay_server> servers;
  std::vector<replay_change> changes;
  int entries = 1;
  /** Arrivals at all entries together. */
  double requests_per_s = 100;
  double duration_s = 25;
  /** Whether the limits of servers are estimated. */
  bool limits = false;
  /** Model group of the servers; empty: none. */
  std::string group;
  /** Whether responses carry the server's load. */
  bool reports_load = true;
  std::uint64_t seed = 1;
  /** Runs with successive seeds, taken together. */
  int runs = 16;
};

/** A request as its caller saw it. */
struct replay_request {
  double at_s = 0;
  double response_ms = 0;
  /** Response time of a server of speed 1 that runs nothing else. */
  double work_ms = 0;
  /** Server of the last attempt. */
  std::size_t server = 0;
  bool served = false;
  bool refused = false;
};

struct replay_attempt {
  double at_s = 0;
  std::size_t server = 0;
  bool refused = false;
};

struct replay_result {
  std::vector<replay_request> requests;
  std::vector<replay_attempt> attempts;
  /** Log lines about changed limits. */
  int limit_lines = 0;
  /** Limit of each server at each second, the mean of all entries. */
  std::vector<std::vector<double>> limits;

  /** Quantile of the stretch (response time over work) of the requests that
   * came within the times. Routes differ in work, so response times themselves
   * would hide slow servers. A request that wasn't served has the largest. */
  double Stretch(double quantile, double from_s, double to_s) const;
  /** Mean stretch of the requests that the server served. */
  double MeanStretchAt(std::size_t server, double from_s, double to_s) const;
  double MeanMs(double from_s, double to_s) const;
  int Refused(double from_s, double to_s) const;
  /** Neither served nor refused. */
  int Failed(double from_s, double to_s) const;
  /** Fraction of the attempts within the times that went to the server. */
  double Share(std::size_t server, double from_s, double to_s) const;
  int RefusedAttempts(double from_s, double to_s) const;
};

/** Runs the reducers of all entries against the servers. Runs of the same seed
 * have the same arrivals. */
replay_result Replay(const replay_plan& plan);

}  // namespace wisteriaroute::gateway

#endif  // TESTS_GATEWAY_SERVER_LIMIT_REPLAY_H_
