#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {
namespace {

constexpr int kServers = 3;
constexpr int kSteps = 400;

config::traffic_set Traffic() {
  config::traffic_set set{.version = 1};
  set.routes = {{.name = "lookup",
                 .host = "h",
                 .path_prefix = "/",
                 .repeats = config::repetition::kRepeatable,
                 .timeout_ms = 2'000,
                 .max_attempts = 3,
                 .targets = {{.service = "s"}}}};
  set.services = {{.name = "s"}};
  return set;
}

/**
 * Simulates an entry and servers that leave, ask for pauses and restart.
 * Updates from control are late, repeated and out of order. Counts the requests
 * that reach an incarnation of a server after it told the entry that it is
 * leaving or paused.
 */
class schedule {
 public:
  explicit schedule(std::uint64_t seed) : random_(seed) {
    state_.options.retries = {.ratio = 1, .floor = 1'000};
    Do(traffic_published{
        std::make_shared<const config::traffic_index>(Traffic())});
    for (int i = 0; i < kServers; ++i) {
      reports_.push_back(Report(i));
    }
    Do(members_updated{{.full = true, .changed = reports_}});
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      now_us_ += static_cast<base::time_us>(random_() % 60'000);
      Act();
    }
  }

  int reached_leaving = 0;
  int reached_paused = 0;
  int sent = 0;

 private:
  struct run {
    std::uint64_t incarnation = 1;
    bool leaving = false;
    bool told_leaving = false;
    base::time_us told_pause_until_us = 0;
  };

  void Act() {
    const int one = static_cast<int>(random_() % kServers);
    switch (random_() % 10) {
      case 0:
        servers_[one].leaving = true;
        break;
      case 1:
        if (servers_[one].leaving) {
          servers_[one] = {.incarnation = servers_[one].incarnation + 1};
          // Responses don't name the incarnation, so the entry must learn it
          // from control.
          reports_.push_back(Report(one));
          Do(members_updated{{.changed = {reports_.back()}}});
        }
        break;
      case 2:
        reports_.push_back(Report(one));
        break;
      case 3:
        // The newest report with probability 1/2, else any report so far.
        Do(members_updated{
            {.changed = {random_() % 2 == 0
                             ? reports_.back()
                             : reports_[random_() % reports_.size()]}}});
        break;
      case 4:
        Do(options_changed{state_.options});
        break;
      case 5:
        Do(gateway_tick{});
        break;
      case 6:
      case 7:
        Answer();
        break;
      default:
        Do(request_arrived{++exchange_,
                           {.id = std::to_string(exchange_),
                            .host = "h",
                            .path = "/x",
                            .deadline_ms = 2'000}});
    }
  }

  wire::member_info Report(int one) {
    return {.name = std::to_string(one),
            .role = wire::member_role::kServer,
            .incarnation = servers_[one].incarnation,
            .address = "10.0.0.1:80",
            .backend = {.service = "s", .slots = 4}};
  }

  void Answer() {
    if (open_.empty()) {
      return;
    }
    const auto at =
        std::next(open_.begin(), static_cast<long>(random_() % open_.size()));
    const auto [attempt, target] = *at;
    open_.erase(at);
    run& server = servers_[target.first];
    if (server.incarnation != target.second) {
      Do(attempt_ended{.attempt = attempt, .error = "gone"});
      return;
    }
    response_head head{.status = 200, .sealed = true};
    if (random_() % 3 == 0) {
      head = {.status = 503, .not_run = true};
      if (random_() % 2 == 0) {
        head.pause_ms = 1 + static_cast<base::time_ms>(random_() % 1'500);
      }
    }
    head.leaving = server.leaving;
    // The entry ignores the head if the attempt is no longer in progress.
    const bool alive = state_.attempts.contains(attempt);
    server.told_leaving = server.told_leaving || (alive && head.leaving);
    if (alive && head.pause_ms) {
      server.told_pause_until_us = std::max(server.told_pause_until_us,
                                            now_us_ + *head.pause_ms * 1'000);
    }
    Do(attempt_head{attempt, head});
    Do(attempt_ended{.attempt = attempt, .ok = true});
  }

  void Do(const gateway_event& event) {
    for (const gateway_effect& effect : Step(state_, event, now_us_)) {
      const auto* start = std::get_if<start_attempt>(&effect);
      if (start == nullptr) {
        continue;
      }
      const int target = std::stoi(start->terms.expected_server);
      const run& server = servers_[target];
      ++sent;
      reached_leaving += server.told_leaving ? 1 : 0;
      reached_paused += now_us_ < server.told_pause_until_us ? 1 : 0;
      open_[start->attempt] = {target, server.incarnation};
    }
  }

  std::mt19937_64 random_;
  base::time_us now_us_ = 1'000'000;
  gateway_state state_;
  std::map<int, run> servers_;
  std::vector<wire::member_info> reports_;
  /** Server and incarnation of each attempt in progress. */
  std::map<attempt_id, std::pair<int, std::uint64_t>> open_;
  exchange_id exchange_ = 0;
};

TEST_CASE("a server gets no request after it says it leaves or while paused") {
  int sent = 0;
  CHECK(rc::check("no request after it", [&](std::uint64_t seed) {
    schedule one(seed);
    one.Run();
    sent += one.sent;
    RC_ASSERT(one.reached_leaving == 0);
    RC_ASSERT(one.reached_paused == 0);
  }));
  // Guards against schedules that send nothing.
  CHECK(sent > 1'000);
}

}  // namespace
}  // namespace wisteriaroute::gateway
