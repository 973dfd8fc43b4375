#ifndef LIBWISTERIAROUTE_BASE_EVENT_RING_H_
#define LIBWISTERIAROUTE_BASE_EVENT_RING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace wisteriaroute::base {

/** An event of the timeline. Fields that don't apply to it are empty or 0. */
struct timeline_event {
  std::uint64_t hlc = 0;
  std::string process;
  std::string kind;
  std::string request_id;
  std::string group;
  std::string server;
  std::uint64_t revision = 0;
  std::string detail;
};

/** Selects events. A field that is empty or 0 matches every event. */
struct timeline_filter {
  std::string request_id;
  std::string group;
  std::string server;
  std::uint64_t revision = 0;
  /** Largest number of events that are returned. */
  std::uint32_t limit = 1'000;
};

bool Matches(const timeline_filter& filter, const timeline_event& event);

/** Ring buffer of the latest events of a process. */
class event_ring {
 public:
  explicit event_ring(std::size_t capacity = 8'192) : capacity_(capacity) {}

  void Add(timeline_event event);

  /** Returns the newest matching events up to the limit, oldest first. */
  std::vector<timeline_event> Select(const timeline_filter& filter) const;

 private:
  std::size_t capacity_;
  std::deque<timeline_event> events_;
};

/** Sorts events of several processes by timestamp, then by process name. */
void SortTimeline(std::vector<timeline_event>& events);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_EVENT_RING_H_
