#include "libwisteriaroute/entry/streaming.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libwisteriaroute/entry/admission.h"
#include "libwisteriaroute/entry/api.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/quarantine.h"
#include "libwisteriaroute/entry/respond.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kKeepAliveUs = 2'000'000;
// Links deliver chunks in order, so a gap that lasts this long won't be filled
// without a new request.
constexpr base::time_us kGapTimeoutUs = 500'000;
constexpr std::size_t kMaxBufferedChunkBytes = 1024 * 1024;
constexpr std::size_t kMaxBufferedChunks = 1'024;
// Plain responses up to this size are buffered and sent whole, so that a
// failure midway can still be retried.
constexpr std::size_t kStreamThresholdBytes = 256 * 1024;
// Responses of non-repeatable calls are recorded before they are sent, so they
// are buffered completely.
constexpr std::size_t kMaxNonRepeatableBytes = 16 * 1024 * 1024;
constexpr std::uint64_t kAckBytes = 64 * 1024;

net::http_headers StreamHeaders() {
  return {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
}

/** Offsets count tokens in the text of a generation, otherwise bytes. */
bool CountsTokens(const request& of) {
  return of.kind != wire::work_kind::kPlain && of.response.status == 200;
}

bool IsEventStream(const request& of) {
  return CountsTokens(of) && of.stream;
}

std::string Lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
  }
  return out;
}

wire::header_list CallerHeaders(const wire::header_list& headers) {
  constexpr std::string_view kHopByHop[] = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "trailer",    "upgrade",    "proxy-connection",  "x-request-id"};
  wire::header_list out;
  for (const auto& header : headers) {
    if (std::find(std::begin(kHopByHop), std::end(kHopByHop),
                  Lower(header.first)) == std::end(kHopByHop)) {
      out.push_back(header);
    }
  }
  return out;
}

bool HasEventStreamType(const wire::header_list& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const auto& header) {
    return Lower(header.first) == "content-type" &&
           Lower(header.second).starts_with("text/event-stream");
  });
}

void AckPlain(step_context& step, request& of) {
  response_state& response = of.response;
  if (of.non_repeatable ||
      response.offset - response.acked_offset < kAckBytes) {
    return;
  }
  response.acked_offset = response.offset;
  const agent* at = FindAgent(step.state, of.current->agent);
  if (at != nullptr && at->link != 0) {
    step.Emit(send_work{at->link, wire::ack{of.current->id, response.offset}});
  }
}

// Forwards the buffered part of a plain response once it is too large to
// buffer, or at once if it is an event stream.
void ForwardPlain(step_context& step, request& of) {
  response_state& response = of.response;
  if (of.non_repeatable || of.answered || !response.head_seen ||
      (!of.stream_started && !response.forward_immediately &&
       response.text.size() <= kStreamThresholdBytes)) {
    return;
  }
  StartStream(step, of, response.status, response.headers);
  response.forwarded = true;
  WriteStream(step, of, std::exchange(response.text, {}));
}

void Append(step_context& step,
            request& of,
            std::string_view data,
            std::uint64_t units) {
  response_state& response = of.response;
  response.text.append(data);
  response.offset += units;
  if (!IsEventStream(of)) {
    if (!CountsTokens(of)) {
      ForwardPlain(step, of);
      AckPlain(step, of);
    }
    return;
  }
  if (!of.answered) {
    if (!of.stream_started) {
      StartStream(step, of, 200, StreamHeaders());
    }
    WriteStream(step, of, ChunkEvent(of, data));
  }
}

enum class append_result { kAppended, kDuplicate, kAhead };

append_result AppendInOrder(step_context& step,
                            request& of,
                            const wire::chunk& part) {
  const std::uint64_t offset = of.response.offset;
  if (part.offset > offset) {
    return append_result::kAhead;
  }
  if (CountsTokens(of)) {
    // The text doesn't show where tokens end, so a chunk that overlaps can't
    // be cut and is dropped as a whole.
    if (part.offset != offset || part.token_count == 0) {
      return append_result::kDuplicate;
    }
    Append(step, of, part.data, part.token_count);
    return append_result::kAppended;
  }
  const std::uint64_t known = offset - part.offset;
  if (known >= part.data.size()) {
    return append_result::kDuplicate;
  }
  const std::string_view data = std::string_view(part.data).substr(known);
  Append(step, of, data, data.size());
  return append_result::kAppended;
}

void BufferChunk(step_context& step,
                 response_state& response,
                 wire::chunk part) {
  if (response.buffered_chunks.size() >= kMaxBufferedChunks ||
      response.buffered_bytes + part.data.size() > kMaxBufferedChunkBytes) {
    step.Emit(count_metric{"wisteriaroute_held_chunks_dropped_total"});
    return;
  }
  const std::size_t bytes = part.data.size();
  const std::uint64_t offset = part.offset;
  if (response.buffered_chunks.emplace(offset, std::move(part)).second) {
    response.buffered_bytes += bytes;
  }
}

void AppendBufferedChunks(step_context& step, request& of) {
  auto& buffered_chunks = of.response.buffered_chunks;
  while (!buffered_chunks.empty() &&
         buffered_chunks.begin()->first <= of.response.offset) {
    const auto node = buffered_chunks.extract(buffered_chunks.begin());
    of.response.buffered_bytes -= node.mapped().data.size();
    AppendInOrder(step, of, node.mapped());
  }
}

void Complete(step_context& step, request& of) {
  if (agent* at = FindAgent(step.state, of.current->agent)) {
    at->failures = 0;
  }
  of.current_outcome = wire::outcome::kRan;
  ClearSuspect(step, of);
  CountFinished(step, of);
  step.Emit(count_metric{"wisteriaroute_tokens_total",
                         of.response.end->completion_tokens});
  Note(step, of, "finished", of.current->agent, of.response.end->reason);
  if (of.non_repeatable) {
    RecordOutcome(step, of, std::nullopt);
    return;
  }
  FinishResponse(step, of);
  Close(step, of);
}

void CompleteIfWhole(step_context& step, request& of) {
  const response_state& response = of.response;
  if (response.end && response.head_seen &&
      response.offset >= response.end->end_offset) {
    Complete(step, of);
  }
}

request* FindRunning(step_context& step, const wire::attempt_id& id) {
  request* of = FindByAttempt(step.state, id);
  if (of == nullptr || of->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return nullptr;
  }
  of->current_outcome = wire::outcome::kRan;
  of->current->last_message_us = step.now_us;
  return of;
}

}  // namespace

void HandleHead(step_context& step, const wire::head& message) {
  request* of = FindRunning(step, message.attempt);
  if (of == nullptr || of->response.head_seen) {
    return;
  }
  response_state& response = of->response;
  const bool plain = of->kind == wire::work_kind::kPlain;
  if (!plain && message.status != 200 &&
      (response.offset > 0 || of->stream_started)) {
    // The server refused to resume a generation; the callers have part of it.
    HandleLost(step, *of, wire::outcome::kRan,
               {.status = 502,
                .code = "backend_error",
                .message = "the backend server answered with status " +
                           std::to_string(message.status)});
    return;
  }
  response.head_seen = true;
  response.status = message.status;
  response.headers = CallerHeaders(message.headers);
  response.forward_immediately = plain && HasEventStreamType(response.headers);
  step.Emit(latency_metric{"wisteriaroute_head_seconds",
                           step.now_us - of->arrived_us});
  if (IsEventStream(*of)) {
    StartStream(step, *of, 200, StreamHeaders());
  }
  AppendBufferedChunks(step, *of);
  CompleteIfWhole(step, *of);
}

void HandleChunk(step_context& step, const wire::chunk& message) {
  request* of = FindRunning(step, message.attempt);
  if (of == nullptr) {
    return;
  }
  response_state& response = of->response;
  const bool early = !response.head_seen;
  // The unit of the offset isn't known until the head has arrived.
  if (early) {
    BufferChunk(step, response, message);
    return;
  }
  const bool first = response.offset == 0;
  switch (AppendInOrder(step, *of, message)) {
    case append_result::kDuplicate:
      step.Emit(count_metric{"wisteriaroute_duplicate_chunks_total"});
      return;
    case append_result::kAhead:
      BufferChunk(step, response, message);
      return;
    case append_result::kAppended:
      break;
  }
  if (first) {
    step.Emit(latency_metric{"wisteriaroute_first_token_seconds",
                             step.now_us - of->arrived_us});
  }
  AppendBufferedChunks(step, *of);
  if (of->non_repeatable && response.text.size() > kMaxNonRepeatableBytes) {
    RecordOutcome(step, *of,
                  error_reply{.status = 502,
                              .code = "response_too_large",
                              .message = "the response exceeds 16 MiB"});
    return;
  }
  if (response.end) {
    CompleteIfWhole(step, *of);
  }
}

void HandleFinish(step_context& step, const wire::finish& message) {
  request* of = FindRunning(step, message.attempt);
  if (of == nullptr) {
    return;
  }
  of->response.end = message;
  CompleteIfWhole(step, *of);
}

void FinishResponse(step_context& step, request& of) {
  response_state& response = of.response;
  if (IsEventStream(of)) {
    StartStream(step, of, 200, StreamHeaders());
    WriteStream(step, of, FinishEvents(of, *response.end));
    EndStream(step, of);
  } else if (CountsTokens(of)) {
    Respond(step, of, 200, {{"Content-Type", "application/json"}},
            CompletionBody(of, *response.end));
  } else if (of.stream_started) {
    EndStream(step, of);
  } else {
    Respond(step, of, response.status, response.headers, response.text);
  }
}

void SendStreamSoFar(step_context& step, request& of, net::exchange_id caller) {
  if (!of.stream_started) {
    return;
  }
  net::http_headers headers = StreamHeaders();
  headers.emplace_back("X-Request-Id", of.request_id);
  step.Emit(stream_start{caller, 200, std::move(headers)});
  if (!of.response.text.empty()) {
    step.Emit(stream_write{caller, ChunkEvent(of, of.response.text)});
  }
}

void KeepAlive(step_context& step, request& of) {
  if (of.answered || of.kind == wire::work_kind::kPlain || !of.stream) {
    return;
  }
  const base::time_us since =
      of.stream_started ? of.last_write_us : of.phase_since_us;
  if (step.now_us - since < kKeepAliveUs) {
    return;
  }
  StartStream(step, of, 200, StreamHeaders());
  WriteStream(step, of, ": waiting\n\n");
}

void RequestMissingPart(step_context& step, request& of) {
  response_state& response = of.response;
  const bool behind =
      !response.buffered_chunks.empty() || response.end.has_value();
  if (!behind || response.missing_since_us == 0) {
    response.missing_since_us = behind ? step.now_us : 0;
    return;
  }
  const agent* at = FindAgent(step.state, of.current->agent);
  if (at == nullptr || at->link == 0 ||
      step.now_us - response.missing_since_us < kGapTimeoutUs) {
    return;
  }
  response.missing_since_us = step.now_us;
  step.Emit(count_metric{"wisteriaroute_gaps_total"});
  step.Emit(send_work{at->link, wire::attach{of.current->id, response.offset}});
}

}  // namespace wisteriaroute::entry
