#ifndef LIBWISTERIAROUTE_ENTRY_API_H_
#define LIBWISTERIAROUTE_ENTRY_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libwisteriaroute/entry/request.h"

namespace wisteriaroute::entry {

/** The fields of a generation request that the entry uses. */
struct generation_body {
  std::string model;
  std::string adapter;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /** Hashes of the prompt's blocks, as in the agents' cache hints. */
  std::vector<std::uint64_t> prefix_blocks;
  /** Digests of the messages of a chat before the last one, in order. */
  std::vector<base::digest128> shared_messages;
};

/** Parses the body of a generation request; returns a message on error. */
std::variant<generation_body, std::string> ParseGeneration(
    wire::work_kind kind,
    std::string_view body);

/** Appends `text` as the content of a JSON string, escaped. */
void AppendEscaped(std::string_view text, std::string& out);

/** `{"error":{"code","message","outcome","request_id"}}`. */
std::string ErrorBody(const error_reply& error, std::string_view request_id);

/** One `data:` event with the text of a chunk. */
std::string ChunkEvent(const request_state& request, std::string_view text);

/** The last `data:` event with the finish reason, and `data: [DONE]`. */
std::string FinishEvents(const request_state& request, const wire::finish& end);

/** `event: error` with the error body. */
std::string ErrorEvent(const error_reply& error, std::string_view request_id);

/** Body of a whole response to a generation request. */
std::string CompletionBody(const request_state& request,
                           const wire::finish& end);

/** Body of `GET /v1/models`. */
std::string ModelList(const std::vector<std::string>& models);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_API_H_
