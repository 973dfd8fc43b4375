#include "libwisteriaroute/gateway/cold_servers.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

// The reducer's tick is much shorter, so a longer time between two steps means
// that the process didn't run.
constexpr base::time_us kFreezeUs = 1'000'000;
// Time to read what control has sent meanwhile, or to connect to it again. An
// acknowledgement before it may be one that was sent during the freeze.
constexpr base::time_us kUnsureUs = 1'000'000;
// Requests of this time before a freeze may have reached their server only
// after it: their connections were being made.
constexpr base::time_us kUnsentUs = 1'000'000;
// Allowance for the time until a server that was lost has started again. An
// entry that control reaches learns of a later start from the server's report.
constexpr base::time_us kStartUs = 5'000'000;
// The usual time until a slot of a warm server is free.
constexpr base::time_us kSlotWaitUs = 400'000;

const config::traffic_service* ServiceOf(const gateway_state& state,
                                         std::string_view name) {
  return state.traffic == nullptr ? nullptr : state.traffic->FindService(name);
}

/** The state of a server that is cold and limited now; null otherwise. */
const cold_state* FindCold(const gateway_state& state,
                           const server& one,
                           base::time_us now_us) {
  const config::traffic_service* service =
      ServiceOf(state, one.info.backend.service);
  const auto found = state.cold.servers.find(one.info.name);
  return found != state.cold.servers.end() && LimitsCold(service) &&
                 ColdUntilUs(state.cold, found->second, *service) > now_us
             ? &found->second
             : nullptr;
}

/** Changes the state of a server that control has announced, and logs it if the
 * server becomes cold by that. */
template <typename Change>
void Mark(step_context& step,
          std::string_view server_id,
          std::string_view cause,
          Change&& change) {
  const server* known = step.state.servers.Find(server_id);
  if (known == nullptr) {
    return;
  }
  const bool was_cold = IsCold(step, *known);
  change(step.state.cold.servers[known->info.name]);
  if (!was_cold && IsCold(step, *known)) {
    step.Note("server_cold",
              {{"server", known->info.name},
               {"incarnation", std::to_string(known->info.incarnation)},
               {"cause", std::string(cause)}});
  }
}

void ApplyReport(step_context& step, const wire::member_info& info) {
  const server* known = step.state.servers.Find(info.name);
  if (known == nullptr || known->info.incarnation != info.incarnation) {
    return;
  }
  cold_state& state = step.state.cold.servers[info.name];
  const bool is_new_run = state.incarnation != info.incarnation;
  state.incarnation = info.incarnation;
  if (info.cold_left_ms) {
    state.reported_until_us = step.now_us + *info.cold_left_ms * 1'000;
  } else if (is_new_run) {
    MarkCold(step, info.name, step.now_us, "new run");
  }
}

/** Removes what is known of servers that control has removed, except marks
 * that may still matter if they return. */
void ForgetRemoved(step_context& step) {
  std::erase_if(step.state.cold.servers, [&](const auto& item) {
    const cold_state& state = item.second;
    const auto longest_us = static_cast<base::time_us>(config::kMaxColdS * 1e6);
    return step.state.servers.Find(item.first) == nullptr &&
           state.reported_until_us <= step.now_us &&
           state.answered_until_us <= step.now_us &&
           std::max(state.suspected_us, state.lost_us + kStartUs) +
                   longest_us <=
               step.now_us;
  });
}

}  // namespace

void entry_list::SetOwn(std::uint64_t own) {
  drops_us_.erase(own_);
  own_ = own;
  drops_us_[own_] = 0;
  Rebuild();
}

void entry_list::Update(std::span<const std::uint64_t> listed,
                        base::time_us now_us) {
  if (listed.empty()) {
    return;
  }
  is_known_ = true;
  for (auto& [id, drop_us] : drops_us_) {
    const bool is_listed =
        id == own_ || std::ranges::find(listed, id) != listed.end();
    if (is_listed) {
      drop_us = 0;
    } else if (drop_us == 0) {
      drop_us = now_us + kEntryRetentionUs;
    }
  }
  for (const std::uint64_t id : listed) {
    drops_us_.try_emplace(id, 0);
  }
  Rebuild();
}

std::span<const std::uint64_t> entry_list::Ids(base::time_us now_us) {
  const std::size_t dropped = std::erase_if(drops_us_, [&](const auto& item) {
    return item.second != 0 && item.second <= now_us;
  });
  if (dropped > 0) {
    Rebuild();
  }
  return ids_;
}

void entry_list::Rebuild() {
  ids_.clear();
  for (const auto& [id, drop_us] : drops_us_) {
    ids_.push_back(id);
  }
  ++version_;
}

bool LimitsCold(const config::traffic_service* service) {
  return service != nullptr && service->cold_requests_per_s > 0;
}

bool LimitsCold(const config::traffic_index* traffic) {
  return traffic != nullptr &&
         std::ranges::any_of(traffic->set().services,
                             [](const config::traffic_service& service) {
                               return LimitsCold(&service);
                             });
}

base::time_us ColdUntilUs(const cold_watch& watch,
                          const cold_state& state,
                          const config::traffic_service& service) {
  const auto period_us = static_cast<base::time_us>(service.cold_s * 1e6);
  base::time_us until_us =
      std::max(state.reported_until_us, state.answered_until_us);
  if (watch.unsure_since_us > 0) {
    until_us = std::max(until_us,
                        watch.unsure_since_us + std::max(period_us, kUnsureUs));
  }
  if (period_us > 0 && state.suspected_us > 0) {
    until_us = std::max(until_us, state.suspected_us + period_us);
  }
  if (period_us > 0 && state.lost_us > 0) {
    const base::time_us started_us =
        state.contact_us > 0 ? state.contact_us : state.lost_us + kStartUs;
    until_us = std::max(until_us, started_us + period_us);
  }
  return until_us;
}

std::optional<base::time_us> NextColdSendUs(
    cold_watch& watch,
    std::string_view server,
    const config::traffic_service& service,
    base::time_us now_us) {
  const auto found = watch.servers.find(server);
  if (found == watch.servers.end() ||
      ColdUntilUs(watch, found->second, service) <= now_us) {
    return now_us;
  }
  cold_state& state = found->second;
  const policy::cold_rate rate = policy::ColdRate(service.cold_requests_per_s);
  const std::span<const std::uint64_t> ids = watch.entries.Ids(now_us);
  if (state.share_version != watch.entries.version() ||
      state.share_total != rate.requests) {
    const std::uint64_t own = watch.entries.own();
    state.share_version = watch.entries.version();
    state.share_total = rate.requests;
    state.share = watch.entries.is_known()
                      ? policy::ColdShare(rate.requests, server, own, ids)
                      : policy::ColdShareAlone(rate.requests, server, own);
  }
  return state.sends.NextUs(state.share, rate.window_us, now_us);
}

void MarkCold(step_context& step,
              std::string_view server_id,
              base::time_us since_us,
              std::string_view cause) {
  Mark(step, server_id, cause, [&](cold_state& state) {
    state.suspected_us = std::max(state.suspected_us, since_us);
  });
}

void MarkLost(step_context& step, std::string_view server_id) {
  Mark(step, server_id, "connection lost", [&](cold_state& state) {
    state.lost_us = step.now_us;
    state.contact_us = 0;
  });
}

void MarkDataCenterCold(step_context& step,
                        std::string_view data_center,
                        base::time_us since_us) {
  for (const auto& [id, one] : step.state.servers.all()) {
    if (one.info.data_center == data_center) {
      MarkCold(step, id, since_us, "evacuation ended");
    }
  }
}

void ApplyColdReports(step_context& step, const wire::member_update& update) {
  step.state.cold.entries.Update(update.entry_ids, step.now_us);
  for (const wire::member_info& info : update.changed) {
    ApplyReport(step, info);
  }
  if (update.full || !update.removed.empty()) {
    ForgetRemoved(step);
  }
}

// Control's report of the same time may arrive earlier or later than the
// answer, so neither changes what the other has begun.
void ApplyColdAnswer(step_context& step,
                     const request_state& request,
                     const server& target,
                     const response_head& head) {
  if (head.wrong_server ||
      target.info.incarnation != request.server_incarnation) {
    return;
  }
  cold_state& state = step.state.cold.servers[target.info.name];
  if (state.contact_us == 0 && request.attempt_started_us >= state.lost_us) {
    state.contact_us = step.now_us;
  }
  if (!head.cold_left_ms) {
    return;
  }
  if (*head.cold_left_ms > 0) {
    state.answered_until_us = step.now_us + *head.cold_left_ms * 1'000;
    state.answered_us = step.now_us;
  } else if (request.attempt_started_us > state.answered_us) {
    state.answered_until_us = 0;
  }
}

void NoteColdSend(step_context& step, const server& to) {
  const config::traffic_service* service =
      ServiceOf(step.state, to.info.backend.service);
  if (LimitsCold(service)) {
    // Requests to a warm server are recorded, too: it may turn out that it
    // was cold when they were sent.
    step.state.cold.servers[to.info.name].sends.Note(
        step.now_us, policy::ColdRate(service->cold_requests_per_s).window_us);
  }
}

bool MaySendNow(step_context& step, const server& to) {
  const config::traffic_service* service =
      ServiceOf(step.state, to.info.backend.service);
  if (!LimitsCold(service)) {
    return true;
  }
  const auto next_us =
      NextColdSendUs(step.state.cold, to.info.name, *service, step.now_us);
  return next_us && *next_us <= step.now_us;
}

std::optional<base::time_us> ColdWaitUs(step_context& step,
                                        const std::vector<server*>& servers) {
  std::optional<base::time_us> wait_us;
  bool has_other = false;
  for (const server* one : servers) {
    if (MaySendNow(step, *one)) {
      has_other = true;
      continue;
    }
    const config::traffic_service& service =
        *ServiceOf(step.state, one->info.backend.service);
    // An entry without a share can't tell when another has one free; the
    // window bounds it.
    const base::time_us share_us =
        NextColdSendUs(step.state.cold, one->info.name, service, step.now_us)
            .value_or(step.now_us +
                      policy::ColdRate(service.cold_requests_per_s).window_us);
    const base::time_us until_us = ColdUntilUs(
        step.state.cold, step.state.cold.servers[one->info.name], service);
    const base::time_us due_us = std::min(share_us, until_us) - step.now_us;
    wait_us = std::min(wait_us.value_or(due_us), due_us);
  }
  return wait_us && has_other ? std::min(*wait_us, kSlotWaitUs) : wait_us;
}

bool IsCold(const step_context& step, const server& one) {
  return FindCold(step.state, one, step.now_us) != nullptr;
}

server_table::total_load ColdLoad(const step_context& step,
                                  std::string_view pool) {
  server_table::total_load cold;
  for (const auto& [id, one] : step.state.servers.all()) {
    if (PoolOf(one.info) == pool && IsCold(step, one)) {
      cold.requests += step.state.servers.Load(one, step.now_us);
      cold.servers +=
          one.info.leaving || one.paused_until_us > step.now_us ? 0 : 1;
    }
  }
  return cold;
}

void NoteElapsedTime(step_context& step) {
  cold_watch& watch = step.state.cold;
  const base::time_us last_us = std::exchange(watch.last_step_us, step.now_us);
  if (last_us == 0 || step.now_us - last_us <= kFreezeUs ||
      !LimitsCold(step.state.traffic.get())) {
    return;
  }
  watch.unsure_since_us = step.now_us;
  for (auto& [id, state] : watch.servers) {
    state.sends.Delay(last_us - kUnsentUs, step.now_us);
  }
  step.Note("frozen",
            {{"for_ms", std::to_string((step.now_us - last_us) / 1'000)}});
}

void EndUnsure(step_context& step) {
  base::time_us& since_us = step.state.cold.unsure_since_us;
  if (step.now_us - since_us >= kUnsureUs) {
    since_us = 0;
  }
}

std::map<std::string, int> CountCold(const gateway_state& state,
                                     base::time_us now_us) {
  std::map<std::string, int> counts;
  if (state.traffic == nullptr) {
    return counts;
  }
  for (const config::traffic_service& service : state.traffic->set().services) {
    if (LimitsCold(&service)) {
      counts[service.name] = 0;
    }
  }
  for (const auto& [id, one] : state.servers.all()) {
    if (!one.info.leaving && FindCold(state, one, now_us) != nullptr) {
      ++counts[one.info.backend.service];
    }
  }
  return counts;
}

}  // namespace wisteriaroute::gateway
