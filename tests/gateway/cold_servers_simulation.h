#ifndef TESTS_GATEWAY_COLD_SERVERS_SIMULATION_H_
#define TESTS_GATEWAY_COLD_SERVERS_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"
#include "libwisteriaroute/policy/cold_share.h"

namespace wisteriaroute::gateway {

inline constexpr base::time_us kMsUs = 1'000;
inline constexpr base::time_us kSecondUs = 1'000'000;
inline constexpr base::time_us kColdUs = 6 * kSecondUs;
inline constexpr base::time_us kEndUs = 40 * kSecondUs;
inline constexpr base::time_us kReportUs = kSecondUs;

struct world_options {
  int entries = 2;
  int servers = 2;
  double per_s = 4;
  /** Requests per second of one entry. */
  double demand = 20;
  bool limits = true;
  /** Whether some entries lose control for up to 30 s. */
  bool cut_off = false;
};

/** A backend server as it really is. */
struct real_server {
  std::uint64_t run = 1;
  bool up = true;
  base::time_us cold_until_us = 0;
  /** When requests that reached the server cold were sent and arrived. */
  std::vector<std::pair<base::time_us, base::time_us>> cold_arrivals;
};

struct entry {
  gateway_state state;
  bool exists = false;
  bool hears_control = true;
  /** Doesn't run before this time; what happens meanwhile is queued. */
  base::time_us frozen_until_us = 0;
};

/**
 * Entries, servers that crash and start again, and a control that forwards
 * reports. Updates are late and some are lost until the next one; entries are
 * added, frozen and cut off from control; the leader changes.
 */
class simulation {
 public:
  simulation(const world_options& options, std::uint64_t seed)
      : options_(options), random_(seed), entries_(EntryCount(options)) {
    servers_.resize(static_cast<std::size_t>(options.servers));
    for (int i = 0; i < options.entries; ++i) {
      StartEntry(i);
    }
    // Half as many again join during the run.
    for (int i = options.entries; i < EntryCount(options); ++i) {
      At(Draw(5 * kSecondUs, kEndUs), [this, i] { StartEntry(i); });
    }
    for (int i = 0; i < options.servers; ++i) {
      At(Draw(3 * kSecondUs, 8 * kSecondUs), [this, i] { Crash(i); });
      At(Draw(20 * kSecondUs, 30 * kSecondUs), [this, i] { Crash(i); });
      At(Draw(0, kReportUs), [this, i] { Report(i); });
    }
    At(Draw(0, kEndUs), [this] { ChangeLeader(); });
    At(Draw(0, kEndUs), [this] { Freeze(); });
    At(Draw(0, kEndUs), [this] { Freeze(); });
    if (options.cut_off) {
      At(Draw(0, kEndUs), [this] { CutOff(); });
    }
  }

  void Run() {
    while (!events_.empty() && events_.begin()->first < kEndUs) {
      const auto event = std::move(events_.begin()->second);
      now_us_ = events_.begin()->first;
      events_.erase(events_.begin());
      event();
    }
  }

  /** Highest number of requests that were sent to and reached a cold server in
   * the same second. */
  int Worst() const {
    int worst = 0;
    for (const real_server& one : servers_) {
      for (const auto& first : one.cold_arrivals) {
        const base::time_us from_us = first.first;
        worst = std::max(worst,
                         static_cast<int>(std::ranges::count_if(
                             one.cold_arrivals, [from_us](const auto& arrival) {
                               return arrival.first >= from_us &&
                                      arrival.second < from_us + kSecondUs;
                             })));
      }
    }
    return worst;
  }
  int ColdRequests() const {
    int sum = 0;
    for (const real_server& one : servers_) {
      sum += static_cast<int>(one.cold_arrivals.size());
    }
    return sum;
  }

 private:
  static int EntryCount(const world_options& options) {
    return options.entries + options.entries / 2;
  }
  static std::string EntryName(int i) { return "entry-" + std::to_string(i); }
  static std::string ServerName(int i) { return "i-" + std::to_string(i); }

  base::time_us Draw(base::time_us from_us, base::time_us to_us) {
    return from_us +
           static_cast<base::time_us>(
               random_() % static_cast<std::uint64_t>(
                               std::max<base::time_us>(1, to_us - from_us)));
  }
  void At(base::time_us when_us, std::function<void()> what) {
    events_.emplace(when_us, std::move(what));
  }
  void After(base::time_us delay_us, std::function<void()> what) {
    At(now_us_ + delay_us, std::move(what));
  }

  std::shared_ptr<const config::traffic_index> Traffic() const {
    config::traffic_set set{.version = 1};
    set.routes = {{.name = "lookup",
                   .host = "h",
                   .path_prefix = "/",
                   .repeats = config::repetition::kRepeatable,
                   .timeout_ms = 2'000,
                   .max_attempts = 2,
                   .targets = {{.service = "s"}}}};
    set.services = {
        {.name = "s",
         .cold_s = static_cast<double>(kColdUs) / kSecondUs,
         .cold_requests_per_s = options_.limits ? options_.per_s : 0}};
    return std::make_shared<const config::traffic_index>(std::move(set));
  }

  // Control.

  wire::member_info Info(int i) const {
    const real_server& one = servers_[static_cast<std::size_t>(i)];
    const base::time_us left_us = one.cold_until_us - now_us_;
    return {.name = ServerName(i),
            .role = wire::member_role::kServer,
            .incarnation = one.run,
            .address = "10.0.0.1:80",
            .backend = {.service = "s", .slots = 1'000},
            .cold_left_ms = left_us > 0 ? left_us / kMsUs + 250 : 0};
  }
  std::vector<std::uint64_t> ListedEntries() const {
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < EntryCount(options_); ++i) {
      const entry& one = entries_[static_cast<std::size_t>(i)];
      if (one.exists && one.hears_control) {
        ids.push_back(policy::EntryId(EntryName(i)));
      }
    }
    return ids;
  }
  bool IsNewLeader() const {
    return now_us_ < leader_since_us_ + 2'750 * kMsUs;
  }
  wire::member_update FullUpdate() const {
    wire::member_update update{.full = true};
    for (int i = 0; i < options_.servers; ++i) {
      update.changed.push_back(Info(i));
    }
    if (!IsNewLeader()) {
      update.entry_ids = ListedEntries();
    }
    return update;
  }
  void SendTo(int i, const wire::member_update& update) {
    const entry& one = entries_[static_cast<std::size_t>(i)];
    if (one.exists && one.hears_control && now_us_ >= leader_since_us_) {
      After(Draw(kMsUs, 40 * kMsUs),
            [this, i, update] { Do(i, members_updated{update}); });
    }
  }
  void SendToAll(const wire::member_update& update) {
    for (int i = 0; i < EntryCount(options_); ++i) {
      SendTo(i, update);
    }
  }
  void SendEntries() {
    if (!IsNewLeader()) {
      SendToAll({.entry_ids = ListedEntries()});
    }
  }
  /** No leader for up to 1 s; the next one lists entries after 2.75 s. */
  void ChangeLeader() {
    leader_since_us_ = now_us_ + Draw(0, kSecondUs);
    At(leader_since_us_ + 3 * kSecondUs, [this] { SendToAll(FullUpdate()); });
  }
  void Report(int i) {
    const real_server& one = servers_[static_cast<std::size_t>(i)];
    if (one.up) {
      After(Draw(kMsUs, 20 * kMsUs),
            [this, i] { SendToAll({.changed = {Info(i)}}); });
    }
    After(kReportUs, [this, i] { Report(i); });
  }

  // Servers.

  void Crash(int i) {
    real_server& one = servers_[static_cast<std::size_t>(i)];
    one.up = false;
    After(Draw(500 * kMsUs, 2 * kSecondUs), [this, i] {
      real_server& started = servers_[static_cast<std::size_t>(i)];
      ++started.run;
      started.up = true;
      started.cold_until_us = now_us_ + kColdUs;
      Report(i);
    });
  }
  void Receive(int from, const start_attempt& attempt, base::time_us sent_us) {
    const int i = std::stoi(attempt.terms.expected_server.substr(2));
    real_server& one = servers_[static_cast<std::size_t>(i)];
    const std::uint64_t run = one.run;
    if (!one.up) {
      After(kMsUs, [this, from, id = attempt.attempt] {
        Do(from, attempt_ended{id, false, true, "refused"});
      });
      return;
    }
    if (one.cold_until_us > now_us_) {
      one.cold_arrivals.emplace_back(sent_us, now_us_);
    }
    After(Draw(20 * kMsUs, 300 * kMsUs),
          [this, from, i, run, id = attempt.attempt] {
            const real_server& now = servers_[static_cast<std::size_t>(i)];
            if (!now.up || now.run != run) {
              Do(from, attempt_ended{id, false, false, "cut"});
              return;
            }
            Do(from, attempt_head{id, {.status = 200, .sealed = true}});
            Do(from, attempt_ended{id, true, false, ""});
          });
  }

  // Entries.

  void StartEntry(int i) {
    entry& one = entries_[static_cast<std::size_t>(i)];
    one.exists = true;
    // A process that hasn't started has no requests that could be queued.
    one.frozen_until_us = 0;
    one.state.random = random_() | 1;
    one.state.options.retries = {.ratio = 1, .floor = 1'000};
    one.state.cold.entries.SetOwn(policy::EntryId(EntryName(i)));
    Do(i, traffic_published{Traffic()});
    SendTo(i, FullUpdate());
    After(Draw(kMsUs, 300 * kMsUs), [this] { SendEntries(); });
    After(Draw(0, 100 * kMsUs), [this, i] { Ask(i); });
    After(50 * kMsUs, [this, i] { Tick(i); });
    Confirm(i);
  }
  void Confirm(int i) {
    if (entries_[static_cast<std::size_t>(i)].hears_control &&
        now_us_ >= leader_since_us_) {
      Do(i, control_confirmed{});
    }
    After(500 * kMsUs, [this, i] { Confirm(i); });
  }
  void Ask(int i) {
    Do(i, request_arrived{next_exchange_++,
                          {.id = "r", .host = "h", .path = "/x"}});
    const double wait_s =
        std::exponential_distribution(options_.demand)(random_);
    After(static_cast<base::time_us>(wait_s * kSecondUs),
          [this, i] { Ask(i); });
  }
  void Tick(int i) {
    // A timer of a frozen process fires once.
    const base::time_us awake_us =
        entries_[static_cast<std::size_t>(i)].frozen_until_us;
    if (awake_us > now_us_) {
      At(awake_us, [this, i] { Tick(i); });
      return;
    }
    Do(i, gateway_tick{});
    After(50 * kMsUs, [this, i] { Tick(i); });
  }
  void Freeze() {
    entry& one = entries_[random_() % entries_.size()];
    one.frozen_until_us = now_us_ + Draw(kSecondUs, 9 * kSecondUs);
  }
  /** Cuts a third of the entries off from control, for a while. */
  void CutOff() {
    const std::size_t count = static_cast<std::size_t>(options_.entries) / 3;
    for (std::size_t i = 0; i < count; ++i) {
      entries_[i].hears_control = false;
    }
    After(3 * kSecondUs, [this] { SendEntries(); });
    After(Draw(5 * kSecondUs, 30 * kSecondUs), [this, count] {
      for (std::size_t i = 0; i < count; ++i) {
        entries_[i].hears_control = true;
        SendTo(static_cast<int>(i), FullUpdate());
      }
      SendEntries();
    });
  }
  void Do(int i, const gateway_event& event) {
    entry& one = entries_[static_cast<std::size_t>(i)];
    if (one.frozen_until_us > now_us_) {
      At(one.frozen_until_us, [this, i, event] { Do(i, event); });
      return;
    }
    for (const gateway_effect& effect : Step(one.state, event, now_us_)) {
      if (const auto* attempt = std::get_if<start_attempt>(&effect)) {
        // The connection is being made until then.
        After(Draw(100, 20 * kMsUs),
              [this, i, attempt = *attempt] { Connected(i, attempt); });
      } else if (const auto* probe = std::get_if<probe_server>(&effect)) {
        After(Draw(kMsUs, 10 * kMsUs),
              [this, i, probe = *probe] { Probe(i, probe); });
      } else if (const auto* sent = std::get_if<send_control>(&effect)) {
        ForwardCrash(i, *sent);
      }
    }
  }
  void Probe(int i, const probe_server& probe) {
    const auto server =
        static_cast<std::size_t>(std::stoi(probe.server.substr(2)));
    Do(i, probe_ended{.server = probe.server,
                      .incarnation = probe.incarnation,
                      .refused = !servers_[server].up});
  }
  /** Control tells the other entries of a crash that one has seen. */
  void ForwardCrash(int from, const send_control& sent) {
    const auto* crash = std::get_if<wire::server_crash>(&sent.message);
    if (crash == nullptr || now_us_ < leader_since_us_ ||
        !entries_[static_cast<std::size_t>(from)].hears_control) {
      return;
    }
    for (int i = 0; i < EntryCount(options_); ++i) {
      const entry& one = entries_[static_cast<std::size_t>(i)];
      if (i != from && one.exists && one.hears_control) {
        After(Draw(2 * kMsUs, 60 * kMsUs), [this, i, crash = *crash] {
          Do(i, server_crash_reported{crash});
        });
      }
    }
  }
  void Connected(int i, const start_attempt& attempt) {
    const entry& one = entries_[static_cast<std::size_t>(i)];
    if (one.frozen_until_us > now_us_) {
      At(one.frozen_until_us, [this, i, attempt] { Connected(i, attempt); });
      return;
    }
    After(Draw(100, 5 * kMsUs), [this, i, attempt, sent_us = now_us_] {
      Receive(i, attempt, sent_us);
    });
  }

  world_options options_;
  std::mt19937_64 random_;
  std::vector<entry> entries_;
  std::vector<real_server> servers_;
  std::multimap<base::time_us, std::function<void()>> events_;
  base::time_us now_us_ = 0;
  base::time_us leader_since_us_ = -10 * kSecondUs;
  exchange_id next_exchange_ = 1;
};

inline double Bound(const world_options& options) {
  return options.per_s * 1.5 + 5;
}

}  // namespace wisteriaroute::gateway

#endif  // TESTS_GATEWAY_COLD_SERVERS_SIMULATION_H_
