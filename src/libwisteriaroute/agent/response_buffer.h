#ifndef LIBWISTERIAROUTE_AGENT_RESPONSE_BUFFER_H_
#define LIBWISTERIAROUTE_AGENT_RESPONSE_BUFFER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::agent {

/** Consecutive part of a response. */
struct response_piece {
  std::uint64_t offset = 0;
  /** Tokens in `data`; 0 for plain bodies, whose offsets count bytes. */
  std::uint32_t token_count = 0;
  std::string data;

  std::uint64_t end() const {
    return offset + (token_count > 0 ? token_count : data.size());
  }
};

/** Buffered part of a response, which entries can attach to. */
struct response_buffer {
  std::optional<wire::head> head;
  std::deque<response_piece> pieces;
  /** Offset of the first piece that is still buffered. */
  std::uint64_t first_offset = 0;
  std::uint64_t end_offset = 0;
  std::optional<wire::finish> finish;
  /** Memory use, as counted against the limits. */
  std::size_t bytes = 0;
};

/** Memory counted per response in addition to its pieces and headers. */
inline constexpr std::size_t kResponseOverheadBytes = 512;

void SetHead(response_buffer& response, wire::head head);

/** Adds a piece at the end and drops the oldest ones above `tail_bytes`. */
void Append(response_buffer& response,
            std::uint32_t token_count,
            std::string_view data,
            std::size_t tail_bytes);

/** Drops the pieces that end at or before `offset`. */
void DropBefore(response_buffer& response, std::uint64_t offset);

/** Drops the oldest piece; returns false if there is none. */
bool DropOldest(response_buffer& response);

/**
 * Returns the chunks from `offset` on, or nullopt if `offset` is past the end
 * or its data was dropped. The first chunk starts at `offset` for plain bodies
 * and at the piece that contains `offset` for tokens.
 */
std::optional<std::vector<wire::chunk>> ChunksFrom(
    const response_buffer& response,
    const wire::attempt_id& attempt,
    std::uint64_t offset);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_RESPONSE_BUFFER_H_
