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
#include "libwisteriaroute/gateway/messages.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::gateway {

/** What this entry knows of a backend server. */
struct server {
  wire::member_info info;
  /** Attempts of this entry that are in progress there. */
  std::int64_t in_flight = 0;
  /** Requests of other entries there, by the last statement of its load. */
  double others = 0;
  /** 0: it has stated nothing yet. */
  base::time_us load_at_us = 0;
  /** Failures in a row without a good answer. */
  int failures = 0;
  /** No new work before this time. */
  base::time_us suspended_until_us = 0;
  /** No new work before this time, as the server asked; 0: it never did. */
  base::time_us paused_until_us = 0;
  /** Answers since the pause. */
  int answers_after_pause = 0;
};

/**
 * Mean load of a pool's servers, by what any of them stated lately. An entry
 * among many hears of each single server too seldom.
 */
struct pool_load {
  double requests_sum = 0;
  /** Statements, each halved in kPoolHalfLifeUs. */
  double weight = 0;
  base::time_us at_us = 0;
};

inline constexpr base::time_us kPoolHalfLifeUs = 400'000;

/** How an attempt ended, for the judgement of its server. */
enum class attempt_verdict { kGood, kBusy, kFailed, kUnreachable, kReplaced };

/** The backend servers that have reported themselves, by id. */
class server_table {
 public:
  /**
   * Applies an update of control. Returns those of its servers that leave from
   * now on.
   */
  std::vector<const server*> Update(const wire::member_update& update);

  /** Servers of a service that take new work, in order of id. */
  std::vector<server*> Usable(std::string_view service, base::time_us now_us);

  /** Whether the service has any server that isn't leaving. */
  bool HasAny(std::string_view service) const;

  /**
   * When the first of the service's servers ends its pause; nothing if there is
   * one that isn't paused, or none at all.
   */
  std::optional<base::time_us> FirstPauseEnd(std::string_view service,
                                             base::time_us now_us) const;

  /** What the servers of a pool run together, as estimated. */
  struct total_load {
    double requests = 0;
    std::size_t servers = 0;
  };
  total_load TotalLoad(std::string_view pool, base::time_us now_us) const;

  /** Requests that run or wait at a server, as estimated. */
  double Load(const server& of, base::time_us now_us) const;

  /** The server, or null if it is gone. */
  server* Find(std::string_view id);

  void NoteLoad(server& of, const server_load& load, base::time_us now_us);
  void NoteVerdict(server& of, attempt_verdict verdict, base::time_us now_us);
  /** This run of the server leaves, whatever control says of it later. */
  void NoteLeaving(server& of);
  /** A pause in force is never shortened. */
  void NotePause(server& of, base::time_us until_us);

  std::size_t size() const { return servers_.size(); }
  const std::map<std::string, server, std::less<>>& all() const {
    return servers_;
  }

 private:
  /** The mean load of a pool; nothing if it isn't known. */
  std::optional<double> MeanLoad(std::string_view pool,
                                 base::time_us now_us) const;

  std::map<std::string, server, std::less<>> servers_;
  std::map<std::string, pool_load, std::less<>> pools_;
  /** Ids with incarnations that have left; late reports don't revive them. */
  std::set<std::pair<std::string, std::uint64_t>> departed_;
};

/**
 * Name of the servers that share a pace: ranks of a group run in lockstep, and
 * each group has passes and shifts of its own. Other servers share their
 * service's.
 */
const std::string& PoolOf(const wire::member_info& server);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_SERVERS_H_
