#include "tests/gateway/server_limit_replay.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <random>
#include <utility>

namespace wisteriaroute::gateway {

namespace {

constexpr base::time_us kStartUs = 1'000'000'000;
constexpr base::time_us kStepUs = 2'000;
constexpr int kWaiting = 2;

struct running_request {
  std::size_t entry = 0;
  attempt_id attempt = 0;
  double work_left_ms = 0;
};

struct route_work {
  const char* name;
  double work_ms;
};
// Routes differ in work, so their response times can't be compared directly.
constexpr route_work kRoutes[] = {{"small", 30},
                                  {"medium", 80},
                                  {"large", 200}};

config::traffic_set ReplayTraffic() {
  config::traffic_set set{.version = 1};
  for (const route_work& one : kRoutes) {
    set.routes.push_back({.name = one.name,
                          .host = "shop.example",
                          .path_prefix = "/" + std::string(one.name) + "/",
                          .repeats = config::repetition::kRepeatable,
                          .timeout_ms = 4'000,
                          .max_attempts = 2,
                          .targets = {{.service = "orders"}}});
  }
  set.services = {{.name = "orders"}};
  return set;
}

class replay {
 public:
  explicit replay(const replay_plan& plan)
      : plan_(plan),
        servers_(plan.servers),
        queues_(plan.servers.size()),
        random_(plan.seed),
        work_random_(plan.seed + 1) {
    wire::member_update members{.full = true};
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      members.changed.push_back(
          {.name = "s" + std::to_string(i),
           .role = wire::member_role::kServer,
           .incarnation = 1,
           .address = "10.0.0.1:80",
           .backend = {
               .service = "orders",
               .group = plan.group,
               .rank = static_cast<std::uint32_t>(i),
               .slots = static_cast<std::uint32_t>(servers_[i].slots)}});
    }
    entries_.resize(static_cast<std::size_t>(plan.entries));
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      entries_[i].random = plan.seed * 1'000 + i + 1;
      entries_[i].options.server_limits = plan.limits;
      Do(i, traffic_published{std::make_shared<const config::traffic_index>(
                ReplayTraffic())});
      Do(i, members_updated{members});
    }
  }

  replay_result Run() {
    const auto end_us = static_cast<base::time_us>(plan_.duration_s * 1e6);
    std::size_t changed = 0;
    for (base::time_us t = 0; t < end_us; t += kStepUs) {
      now_us_ = kStartUs + t;
      while (changed < plan_.changes.size() &&
             plan_.changes[changed].at_s * 1e6 <= static_cast<double>(t)) {
        plan_.changes[changed++].apply(servers_);
      }
      Arrive();
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        Serve(i);
      }
      if (t % kGatewayTickUs == 0) {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
          Do(i, gateway_tick{});
        }
      }
      if (t % 1'000'000 == 0) {
        NoteLimits();
      }
    }
    return result_;
  }

 private:
  double Seconds() const {
    return static_cast<double>(now_us_ - kStartUs) / 1e6;
  }

  void Arrive() {
    std::poisson_distribution<int> arrivals(plan_.requests_per_s *
                                            static_cast<double>(kStepUs) / 1e6);
    for (int left = arrivals(work_random_); left > 0; --left) {
      const route_work& route = kRoutes[work_random_() % std::size(kRoutes)];
      const std::size_t entry = work_random_() % entries_.size();
      // Half of the work is fixed, the rest varies exponentially.
      const double work_ms =
          route.work_ms *
          (0.5 + std::exponential_distribution<double>(2)(work_random_));
      const exchange_id exchange = result_.requests.size() + 1;
      result_.requests.push_back({.at_s = Seconds(), .work_ms = work_ms});
      Do(entry,
         request_arrived{exchange,
                         {.id = "r" + std::to_string(exchange),
                          .host = "shop.example",
                          .path = "/" + std::string(route.name) + "/x"}});
    }
  }

  void Do(std::size_t entry, const gateway_event& event) {
    // Effects are applied first in, first out, as the daemon does.
    for (const gateway_effect& effect : Step(entries_[entry], event, now_us_)) {
      if (const auto* sent = std::get_if<start_attempt>(&effect)) {
        Send(entry, *sent);
      } else if (const auto* cancelled = std::get_if<cancel_attempt>(&effect)) {
        Cancel(entry, cancelled->attempt);
      } else if (const auto* relayed = std::get_if<relay>(&effect)) {
        replay_request& request = result_.requests[relayed->exchange - 1];
        request.served = relayed->status == 200;
        request.response_ms = (Seconds() - request.at_s) * 1e3;
      } else if (const auto* line = std::get_if<note>(&effect)) {
        result_.limit_lines += line->event == "server_limit_changed" ? 1 : 0;
      } else if (const auto* refused = std::get_if<refuse>(&effect)) {
        result_.requests[refused->exchange - 1].refused =
            refused->status == 503;
      }
    }
  }

  void Send(std::size_t entry, const start_attempt& sent) {
    const std::size_t at = std::stoul(sent.terms.expected_server.substr(1));
    const replay_server& server = servers_[at];
    std::vector<running_request>& queue = queues_[at];
    const std::size_t most =
        server.refuses_beyond > 0
            ? static_cast<std::size_t>(server.refuses_beyond)
            : static_cast<std::size_t>(server.slots + kWaiting);
    result_.requests[sent.exchange - 1].server = at;
    const bool refuses = queue.size() >= most;
    result_.attempts.push_back(
        {.at_s = Seconds(), .server = at, .refused = refuses});
    const bool fails =
        std::uniform_real_distribution<double>()(random_) < server.failing;
    if (refuses || fails) {
      pending_.push_back({entry, sent.attempt, at, refuses});
    } else {
      queue.push_back(
          {entry, sent.attempt, result_.requests[sent.exchange - 1].work_ms});
    }
  }

  void Cancel(std::size_t entry, attempt_id attempt) {
    for (std::vector<running_request>& queue : queues_) {
      std::erase_if(queue, [&](const running_request& one) {
        return one.entry == entry && one.attempt == attempt;
      });
    }
  }

  std::optional<server_load> LoadOf(std::size_t at) const {
    if (!plan_.reports_load) {
      return std::nullopt;
    }
    const auto all = static_cast<std::int64_t>(queues_[at].size());
    const std::int64_t slots = servers_[at].slots;
    return server_load{.running = std::min(all, slots),
                       .waiting = std::max<std::int64_t>(0, all - slots),
                       .slots = slots};
  }

  /** Sends the refusals and failures, then advances what runs. */
  void Serve(std::size_t at) {
    std::vector<pending_end> ends;
    std::swap(ends, pending_);
    for (const pending_end& end : ends) {
      Do(end.entry, attempt_head{end.attempt,
                                 {.status = end.refused ? 503U : 500U,
                                  .sealed = true,
                                  .not_run = end.refused,
                                  .load = LoadOf(end.server)}});
      Do(end.entry, attempt_ended{end.attempt, true});
    }
    std::vector<running_request>& queue = queues_[at];
    const auto running =
        std::min(queue.size(), static_cast<std::size_t>(servers_[at].slots));
    if (running == 0) {
      return;
    }
    const double progress_ms =
        static_cast<double>(kStepUs) / 1e3 * servers_[at].speed *
        std::min(1.0, servers_[at].knee / static_cast<double>(running));
    for (std::size_t i = 0; i < running; ++i) {
      queue[i].work_left_ms -= progress_ms;
    }
    End(at);
  }

  void End(std::size_t at) {
    std::vector<running_request>& queue = queues_[at];
    for (std::size_t i = 0; i < queue.size();) {
      if (queue[i].work_left_ms > 0) {
        ++i;
        continue;
      }
      const running_request ended = queue[i];
      const std::optional<server_load> load = LoadOf(at);
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
      Do(ended.entry,
         attempt_head{ended.attempt,
                      {.status = 200, .sealed = true, .load = load}});
      Do(ended.entry, attempt_ended{ended.attempt, true});
    }
  }

  void NoteLimits() {
    std::vector<double> means;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      double sum = 0;
      for (gateway_state& entry : entries_) {
        sum += SlotsHandledWell(
            entry.servers.Find("s" + std::to_string(i))->capacity,
            servers_[i].slots, now_us_);
      }
      means.push_back(sum / static_cast<double>(entries_.size()));
    }
    result_.limits.push_back(std::move(means));
  }

  struct pending_end {
    std::size_t entry = 0;
    attempt_id attempt = 0;
    std::size_t server = 0;
    bool refused = false;
  };

  const replay_plan& plan_;
  std::vector<replay_server> servers_;
  std::vector<std::vector<running_request>> queues_;
  std::vector<gateway_state> entries_;
  std::vector<pending_end> pending_;
  /** Separate, so that all runs of a seed have the same arrivals. */
  std::mt19937_64 random_;
  std::mt19937_64 work_random_;
  base::time_us now_us_ = kStartUs;
  replay_result result_;
};

bool IsWithin(double at_s, double from_s, double to_s) {
  return at_s >= from_s && at_s < to_s;
}

}  // namespace

double replay_result::Stretch(double quantile,
                              double from_s,
                              double to_s) const {
  constexpr double kNever = 1e6;
  std::vector<double> all;
  for (const replay_request& one : requests) {
    if (IsWithin(one.at_s, from_s, to_s)) {
      all.push_back(one.served ? one.response_ms / one.work_ms : kNever);
    }
  }
  std::ranges::sort(all);
  return all.empty() ? 0
                     : all[static_cast<std::size_t>(
                           quantile * static_cast<double>(all.size() - 1))];
}

double replay_result::MeanStretchAt(std::size_t server,
                                    double from_s,
                                    double to_s) const {
  double sum = 0;
  int served = 0;
  for (const replay_request& one : requests) {
    if (one.served && one.server == server &&
        IsWithin(one.at_s, from_s, to_s)) {
      sum += one.response_ms / one.work_ms;
      ++served;
    }
  }
  return served == 0 ? 0 : sum / served;
}

double replay_result::MeanMs(double from_s, double to_s) const {
  double sum = 0;
  int served = 0;
  for (const replay_request& one : requests) {
    if (one.served && IsWithin(one.at_s, from_s, to_s)) {
      sum += one.response_ms;
      ++served;
    }
  }
  return served == 0 ? 0 : sum / served;
}

int replay_result::Refused(double from_s, double to_s) const {
  return static_cast<int>(
      std::ranges::count_if(requests, [&](const replay_request& one) {
        return one.refused && IsWithin(one.at_s, from_s, to_s);
      }));
}

int replay_result::Failed(double from_s, double to_s) const {
  return static_cast<int>(
      std::ranges::count_if(requests, [&](const replay_request& one) {
        return !one.served && !one.refused && IsWithin(one.at_s, from_s, to_s);
      }));
}

double replay_result::Share(std::size_t server,
                            double from_s,
                            double to_s) const {
  double all = 0;
  double to_server = 0;
  for (const replay_attempt& one : attempts) {
    if (IsWithin(one.at_s, from_s, to_s)) {
      ++all;
      to_server += one.server == server ? 1 : 0;
    }
  }
  return all == 0 ? 0 : to_server / all;
}

int replay_result::RefusedAttempts(double from_s, double to_s) const {
  return static_cast<int>(
      std::ranges::count_if(attempts, [&](const replay_attempt& one) {
        return one.refused && IsWithin(one.at_s, from_s, to_s);
      }));
}

replay_result Replay(const replay_plan& plan) {
  replay_result all;
  replay_plan one = plan;
  for (int run = 0; run < plan.runs; ++run, ++one.seed) {
    replay_result result = replay(one).Run();
    std::ranges::move(result.requests, std::back_inserter(all.requests));
    std::ranges::move(result.attempts, std::back_inserter(all.attempts));
    all.limit_lines += result.limit_lines;
    all.limits.resize(result.limits.size());
    for (std::size_t second = 0; second < result.limits.size(); ++second) {
      std::vector<double>& mean = all.limits[second];
      mean.resize(plan.servers.size());
      for (std::size_t i = 0; i < mean.size(); ++i) {
        mean[i] += result.limits[second][i] / plan.runs;
      }
    }
  }
  return all;
}

}  // namespace wisteriaroute::gateway
