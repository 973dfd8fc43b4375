#include "libwisteriaroute/base/event_ring.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisteriaroute::base {

namespace {

bool MatchesText(const std::string& wanted, const std::string& actual) {
  return wanted.empty() || wanted == actual;
}

}  // namespace

bool Matches(const timeline_filter& filter, const timeline_event& event) {
  return MatchesText(filter.request_id, event.request_id) &&
         MatchesText(filter.group, event.group) &&
         MatchesText(filter.server, event.server) &&
         (filter.revision == 0 || filter.revision == event.revision);
}

void event_ring::Add(timeline_event event) {
  if (events_.size() >= capacity_) {
    events_.pop_front();
  }
  events_.push_back(std::move(event));
}

std::vector<timeline_event> event_ring::Select(
    const timeline_filter& filter) const {
  std::vector<timeline_event> selected;
  for (auto it = events_.rbegin(); it != events_.rend(); ++it) {
    if (selected.size() >= filter.limit) {
      break;
    }
    if (Matches(filter, *it)) {
      selected.push_back(*it);
    }
  }
  std::reverse(selected.begin(), selected.end());
  return selected;
}

void SortTimeline(std::vector<timeline_event>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const timeline_event& a, const timeline_event& b) {
                     return std::tie(a.hlc, a.process) <
                            std::tie(b.hlc, b.process);
                   });
}

}  // namespace wisteriaroute::base
