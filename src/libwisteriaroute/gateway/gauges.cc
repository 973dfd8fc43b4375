#include <algorithm>
#include <set>
#include <string>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

namespace {

using base::Labelled;

constexpr double kUsPerSecond = 1e6;

/** A gauge for each data centre with a server, and for each evacuated one. */
void ReportEvacuations(const server_table& servers, base::metrics& out) {
  std::set<std::string, std::less<>> names = servers.evacuated();
  for (const auto& [id, one] : servers.all()) {
    if (!one.info.data_center.empty()) {
      names.insert(one.info.data_center);
    }
  }
  for (const std::string& name : names) {
    out.Set(
        Labelled("wisteriaroute_data_center_evacuated", "data_center", name),
        servers.evacuated().contains(name) ? 1 : 0);
  }
}

}  // namespace

void ReportGauges(gateway_state& state,
                  base::time_us now_us,
                  base::metrics& out) {
  out.ClearGauges();
  out.Set("wisteriaroute_requests_in_progress",
          static_cast<double>(state.requests.size()));
  out.Set("wisteriaroute_traffic_version",
          state.traffic == nullptr
              ? 0
              : static_cast<double>(state.traffic->set().version));
  out.Set("wisteriaroute_servers_known",
          static_cast<double>(state.servers.size()));
  for (auto& [service, budget] : state.budgets) {
    out.Set(Labelled("wisteriaroute_retry_budget_left", "service", service),
            budget.Left(now_us, state.options.retries));
  }
  for (const auto& [service, servers] : CountCold(state, now_us)) {
    out.Set(Labelled("wisteriaroute_servers_cold", "service", service),
            servers);
  }
  out.Set("wisteriaroute_entries_known",
          static_cast<double>(state.cold.entries.Ids(now_us).size()));
  for (const auto& [pool, limit] : state.stream_limits) {
    out.Set(Labelled("wisteriaroute_streams_allowed", "pool", pool),
            limit.streams);
  }
  ReportEvacuations(state.servers, out);
  for (const auto& [id, one] : state.servers.all()) {
    out.Set(Labelled("wisteriaroute_server_load", "server", id),
            state.servers.Load(one, now_us));
    out.Set(Labelled("wisteriaroute_server_load_age_seconds", "server", id),
            static_cast<double>(now_us - one.load_reported_us) / kUsPerSecond);
    out.Set(Labelled("wisteriaroute_server_suspended", "server", id),
            one.suspended_until_us > now_us ? 1 : 0);
    out.Set(Labelled("wisteriaroute_server_leaving", "server", id),
            one.info.leaving ? 1 : 0);
    out.Set(Labelled("wisteriaroute_server_paused_seconds", "server", id),
            static_cast<double>(
                std::max<base::time_us>(0, one.paused_until_us - now_us)) /
                kUsPerSecond);
    if (state.options.server_limits && one.info.backend.group.empty()) {
      out.Set(Labelled("wisteriaroute_server_limit", "server", id),
              SlotsHandledWell(one.capacity, DeclaredSlots(one), now_us));
    }
  }
}

}  // namespace wisteriaroute::gateway
