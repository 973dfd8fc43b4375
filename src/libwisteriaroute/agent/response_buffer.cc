#include "libwisteriaroute/agent/response_buffer.h"

#include <algorithm>

namespace wisteriaroute::agent {

namespace {

std::size_t MemoryOf(const response_piece& piece) {
  return sizeof(response_piece) + piece.data.size();
}

}  // namespace

void SetHead(response_buffer& response, wire::head head) {
  for (const auto& [name, value] : head.headers) {
    response.bytes += name.size() + value.size();
  }
  response.head = std::move(head);
}

void Append(response_buffer& response,
            std::uint32_t token_count,
            std::string_view data,
            std::size_t tail_bytes) {
  response_piece piece{.offset = response.end_offset,
                       .token_count = token_count,
                       .data = std::string(data)};
  response.end_offset = piece.end();
  response.bytes += MemoryOf(piece);
  response.pieces.push_back(std::move(piece));
  while (response.bytes > tail_bytes + kResponseOverheadBytes &&
         response.pieces.size() > 1) {
    DropOldest(response);
  }
}

bool DropOldest(response_buffer& response) {
  if (response.pieces.empty()) {
    return false;
  }
  const response_piece& oldest = response.pieces.front();
  response.bytes -= MemoryOf(oldest);
  response.first_offset = oldest.end();
  response.pieces.pop_front();
  return true;
}

void DropBefore(response_buffer& response, std::uint64_t offset) {
  while (!response.pieces.empty() && response.pieces.front().end() <= offset) {
    DropOldest(response);
  }
}

std::optional<std::vector<wire::chunk>> ChunksFrom(
    const response_buffer& response,
    const wire::attempt_id& attempt,
    std::uint64_t offset) {
  if (offset < response.first_offset || offset > response.end_offset) {
    return std::nullopt;
  }
  std::vector<wire::chunk> chunks;
  for (const response_piece& piece : response.pieces) {
    if (piece.end() <= offset) {
      continue;
    }
    wire::chunk chunk{.attempt = attempt,
                      .offset = piece.offset,
                      .token_count = piece.token_count,
                      .data = piece.data};
    if (piece.token_count == 0 && piece.offset < offset) {
      chunk.data.erase(0, offset - piece.offset);
      chunk.offset = offset;
    }
    chunks.push_back(std::move(chunk));
  }
  return chunks;
}

}  // namespace wisteriaroute::agent
