#ifndef LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_
#define LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/agent/events.h"

namespace wisteriaroute::agent {

// Bodies of the engine protocol (section 7 of docs/design.md). The Parse
// functions return nothing for bodies that aren't of the protocol.

/**
 * The caller's request with `stream`, `priority` and `resume_from` set.
 * Nothing if the body isn't a JSON object.
 */
std::optional<std::string> GenerationBody(const wire::submit& work,
                                          std::uint64_t resume_from);

/** One event of a generation's stream. */
struct stream_event {
  /** `[DONE]` */
  bool done = false;
  std::uint32_t token_count = 0;
  std::string text;
  /** Empty until the last event with a choice. */
  std::string finish_reason;
  std::optional<call_finished> usage;
};
std::optional<stream_event> ParseStreamEvent(std::string_view data);

std::string OrderBody(const wire::order& order);
order_answered ParseOrderAnswer(std::uint64_t order_id,
                                unsigned status,
                                std::string_view body);

std::optional<wire::load_report> ParseLoad(std::string_view body);
std::optional<std::vector<cache_change>> ParseCacheEvents(
    std::string_view body);
std::optional<wire::group_report> ParseGroup(std::string_view body);

/** The `instance` of a health response, or empty. */
std::string ParseInstance(std::string_view body);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_
