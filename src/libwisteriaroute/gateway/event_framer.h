#ifndef LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_
#define LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::gateway {

/** A whole event of a stream, with the blank line that ends it. */
struct stream_event {
  std::string text;
  std::optional<std::uint64_t> id;
};

/** Cuts the bytes of a `text/event-stream` into whole events. */
class event_framer {
 public:
  std::vector<stream_event> Feed(std::string_view data);

  /** Whether a part of an event is left over. */
  bool has_rest() const { return !rest_.empty(); }
  /** Bytes of that part. */
  std::size_t rest_bytes() const { return rest_.size(); }

 private:
  std::string rest_;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_
