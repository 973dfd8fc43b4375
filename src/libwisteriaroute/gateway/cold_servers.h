#ifndef LIBWISTERIAROUTE_GATEWAY_COLD_SERVERS_H_
#define LIBWISTERIAROUTE_GATEWAY_COLD_SERVERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/config/traffic_set.h"
#include "libwisteriaroute/policy/cold_share.h"

namespace wisteriaroute::gateway {

/** An entry stays in the count for this long after control has left it out. */
inline constexpr base::time_us kEntryRetentionUs = 30'000'000;

/** The entries that share the rate of cold servers. */
class entry_list {
 public:
  /** Sets the id of this entry, which is always in the list. */
  void SetOwn(std::uint64_t own);
  /** Applies the complete list of control. New entries count at once; others
   * are dropped kEntryRetentionUs later. */
  void Update(std::span<const std::uint64_t> listed, base::time_us now_us);
  /** The entries that count, in order. */
  std::span<const std::uint64_t> Ids(base::time_us now_us);

  std::uint64_t own() const { return own_; }
  /** Whether control has sent a list. */
  bool is_known() const { return is_known_; }
  /** Changes with the list. */
  std::uint64_t version() const { return version_; }

 private:
  void Rebuild();

  std::uint64_t own_ = 0;
  bool is_known_ = false;
  /** When an entry that control has left out is dropped; 0: listed. */
  std::map<std::uint64_t, base::time_us> drops_us_;
  std::vector<std::uint64_t> ids_;
  std::uint64_t version_ = 1;
};

/** What this entry knows of a server's cold periods, and what it has sent to
 * it. Each source ends only the periods that it began. */
struct cold_state {
  /** The run that `reported_until_us` is of. */
  std::uint64_t incarnation = 0;
  /** By the server's reports to control. */
  base::time_us reported_until_us = 0;
  /** By the server's answers to this entry. */
  base::time_us answered_until_us = 0;
  base::time_us answered_us = 0;
  /** When it may have become cold without saying so; 0: never. Cold for the
   * service's period from then on. */
  base::time_us suspected_us = 0;
  /** When a connection to it was lost last; 0: never. It may start again at any
   * time until it first answers, `contact_us` (0: not yet). */
  base::time_us lost_us = 0;
  base::time_us contact_us = 0;
  policy::recent_sends sends;
  /** The share of this entry, and the list and total that it was computed of.
   */
  int share = 0;
  int share_total = 0;
  std::uint64_t share_version = 0;
};

/** Cold servers by id, and the entries that share their rate. */
struct cold_watch {
  entry_list entries;
  std::map<std::string, cold_state, std::less<>> servers;
  /** Time of the last step of the reducer. */
  base::time_us last_step_us = 0;
  /** When the process woke from a freeze without knowing yet what control has
   * sent meanwhile, so that every server may be cold; 0: it knows. */
  base::time_us unsure_since_us = 0;
};

/** Whether cold servers of the service get a limited rate. */
bool LimitsCold(const config::traffic_service* service);

/** Whether the configuration limits cold servers of any service. */
bool LimitsCold(const config::traffic_index* traffic);

/** Until when the server is cold at the latest; in the past if it is warm. */
base::time_us ColdUntilUs(const cold_watch& watch,
                          const cold_state& state,
                          const config::traffic_service& service);

/** When this entry may send the server the next request; nothing if it has no
 * share. */
std::optional<base::time_us> NextColdSendUs(
    cold_watch& watch,
    std::string_view server,
    const config::traffic_service& service,
    base::time_us now_us);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_COLD_SERVERS_H_
