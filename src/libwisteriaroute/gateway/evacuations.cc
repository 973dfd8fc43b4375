#include <algorithm>
#include <string>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

void NoteChange(step_context& step,
                std::string event,
                const std::string& data_center) {
  std::size_t servers = 0;
  std::int64_t in_flight = 0;
  for (const auto& [id, one] : step.state.servers.all()) {
    if (one.info.data_center == data_center) {
      ++servers;
      in_flight += one.in_flight;
    }
  }
  step.Note(std::move(event), {{"data_center", data_center},
                               {"servers", std::to_string(servers)},
                               {"in_flight", std::to_string(in_flight)}});
}

}  // namespace

void NoteEvacuations(step_context& step, const wire::evacuation_list& list) {
  const auto changes = step.state.servers.UpdateEvacuations(list, step.now_us);
  for (const std::string& name : changes.started) {
    NoteChange(step, "evacuation_started", name);
  }
  for (const std::string& name : changes.ended) {
    NoteChange(step, "evacuation_ended", name);
    // Servers without requests may have become cold.
    MarkDataCenterCold(
        step, name,
        step.state.servers.EvacuationEndedUs(name).value_or(step.now_us));
  }
}

}  // namespace wisteriaroute::gateway
