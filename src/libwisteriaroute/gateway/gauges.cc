#include <algorithm>
#include <string>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

namespace {

constexpr double kUsPerSecond = 1e6;

std::string Labelled(std::string_view name,
                     std::string_view label,
                     std::string_view value) {
  std::string series(name);
  series += "{";
  series += label;
  series += "=\"";
  for (const char c : value) {
    // Names come from outside and must not break the metrics text format.
    series +=
        c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ' ? '_' : c;
  }
  return series + "\"}";
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
  }
}

}  // namespace wisteriaroute::gateway
