#ifndef LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_
#define LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::gateway {

/** A complete event of a stream, including the blank line that ends it. */
struct stream_event {
  std::string text;
  std::optional<std::uint64_t> id;
  /** Has comment lines only. */
  bool is_comment = false;
};

/** Splits the bytes of a `text/event-stream` into complete events. */
class event_framer {
 public:
  /** Appends `data` and returns the events that are now complete. */
  std::vector<stream_event> Feed(std::string_view data);

  /** Whether an incomplete event is buffered. */
  bool has_partial_event() const { return !buffer_.empty(); }
  /** Size of the buffered incomplete event. */
  std::size_t partial_event_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_EVENT_FRAMER_H_
