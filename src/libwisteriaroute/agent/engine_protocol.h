#ifndef LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_
#define LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/agent/events.h"

namespace wisteriaroute::agent {

// Reads and writes message bodies of the engine protocol (section 7 of
// docs/design.md). Parse functions that return an optional return nullopt for
// bodies that do not follow the protocol.

/**
 * Returns the caller's request with `stream` and `priority` set, `adapter` if
 * there is one, and `resume_from` and `resume_text` if `resume_from` is not 0.
 * Returns nullopt if the request body is not a JSON object.
 */
std::optional<std::string> GenerationBody(const wire::submit& work,
                                          std::uint64_t resume_from);

/** One server-sent event of a generation. */
struct stream_event {
  /** The `[DONE]` event, which ends the stream. */
  bool done = false;
  std::uint32_t token_count = 0;
  std::string text;
  /** Set only in the last event that has a choice. */
  std::string finish_reason;
  std::optional<call_finished> usage;
};
std::optional<stream_event> ParseStreamEvent(std::string_view data);

std::string OrderBody(const wire::order& order);
/**
 * Reads the response to an order. A body that is not a JSON object gives
 * kFailed with the HTTP status as the message.
 */
order_answered ParseOrderAnswer(std::uint64_t order_id,
                                unsigned status,
                                std::string_view body);

std::optional<wire::load_report> ParseLoad(std::string_view body);
std::optional<std::vector<cache_change>> ParseCacheEvents(
    std::string_view body);
std::optional<wire::group_report> ParseGroup(std::string_view body);

/** Returns the `instance` of a health response, or an empty string. */
std::string ParseInstance(std::string_view body);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_ENGINE_PROTOCOL_H_
