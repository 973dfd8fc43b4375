#ifndef LIBWISTERIAROUTE_AGENT_KEPT_RESPONSE_H_
#define LIBWISTERIAROUTE_AGENT_KEPT_RESPONSE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::agent {

/** Part of a response between two offsets. */
struct response_piece {
  std::uint64_t offset = 0;
  /** Tokens, or 0 for plain bodies whose offsets count bytes. */
  std::uint32_t token_count = 0;
  std::string data;

  std::uint64_t end() const {
    return offset + (token_count > 0 ? token_count : data.size());
  }
};

/** What is kept of a response so that an entry can attach to it. */
struct kept_response {
  std::optional<wire::head> head;
  std::deque<response_piece> pieces;
  std::uint64_t first_offset = 0;
  std::uint64_t end_offset = 0;
  std::optional<wire::finish> finish;
  /** Memory that this response takes. */
  std::size_t bytes = 0;
};

/** Memory that is counted for a response beside its pieces and headers. */
inline constexpr std::size_t kResponseOverheadBytes = 512;

void SetHead(kept_response& response, wire::head head);

/** Adds a piece at the end and drops old ones beyond `tail_bytes`. */
void Append(kept_response& response,
            std::uint32_t token_count,
            std::string_view data,
            std::size_t tail_bytes);

/** Drops whole pieces before `offset`. */
void DropBefore(kept_response& response, std::uint64_t offset);

/** Drops the oldest piece; returns false if there is none. */
bool DropOldest(kept_response& response);

/**
 * The chunks from `offset` on; nothing if some of them were dropped. Starts at
 * the piece that holds `offset`, plain bodies exactly at `offset`.
 */
std::optional<std::vector<wire::chunk>> ChunksFrom(
    const kept_response& response,
    const wire::attempt_id& attempt,
    std::uint64_t offset);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_KEPT_RESPONSE_H_
