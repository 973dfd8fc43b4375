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
// unless the missing part is requested again.
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
bool CountsTokens(const request_state& request) {
  return request.kind != wire::work_kind::kPlain &&
         request.response.status == 200;
}

bool IsEventStream(const request_state& request) {
  return CountsTokens(request) && request.stream;
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

void AckPlain(step_context& step, request_state& request) {
  response_state& response = request.response;
  if (request.non_repeatable ||
      response.offset - response.acked_offset < kAckBytes) {
    return;
  }
  response.acked_offset = response.offset;
  const agent* peer = FindAgent(step.state, request.current->agent);
  if (peer != nullptr && peer->link != 0) {
    step.Emit(
        send_work{peer->link, wire::ack{request.current->id, response.offset}});
  }
}

// Forwards the buffered part of a plain response once it is too large to
// buffer, or at once if it is an event stream.
void ForwardPlain(step_context& step, request_state& request) {
  response_state& response = request.response;
  if (request.non_repeatable || request.answered || !response.head_seen ||
      (!request.stream_started && !response.forward_immediately &&
       response.text.size() <= kStreamThresholdBytes)) {
    return;
  }
  StartStream(step, request, response.status, response.headers);
  response.forwarded = true;
  WriteStream(step, request, std::exchange(response.text, {}));
}

void Append(step_context& step,
            request_state& request,
            std::string_view data,
            std::uint64_t units) {
  response_state& response = request.response;
  if (response.offset == 0) {
    NoteAnswerBegun(step, request);
  }
  response.text.append(data);
  response.offset += units;
  if (!IsEventStream(request)) {
    if (!CountsTokens(request)) {
      ForwardPlain(step, request);
      AckPlain(step, request);
    }
    return;
  }
  if (!request.answered) {
    if (!request.stream_started) {
      StartStream(step, request, 200, StreamHeaders());
    }
    WriteStream(step, request, ChunkEvent(request, data));
  }
}

enum class append_result { kAppended, kDuplicate, kAhead };

append_result AppendInOrder(step_context& step,
                            request_state& request,
                            const wire::chunk& part) {
  const std::uint64_t offset = request.response.offset;
  if (part.offset > offset) {
    return append_result::kAhead;
  }
  if (CountsTokens(request)) {
    // The text doesn't show where tokens end, so a chunk that overlaps can't
    // be cut and is dropped as a whole.
    if (part.offset != offset || part.token_count == 0) {
      return append_result::kDuplicate;
    }
    Append(step, request, part.data, part.token_count);
    return append_result::kAppended;
  }
  const std::uint64_t known = offset - part.offset;
  if (known >= part.data.size()) {
    return append_result::kDuplicate;
  }
  const std::string_view data = std::string_view(part.data).substr(known);
  Append(step, request, data, data.size());
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

void AppendBufferedChunks(step_context& step, request_state& request) {
  auto& buffered_chunks = request.response.buffered_chunks;
  while (!buffered_chunks.empty() &&
         buffered_chunks.begin()->first <= request.response.offset) {
    const auto node = buffered_chunks.extract(buffered_chunks.begin());
    request.response.buffered_bytes -= node.mapped().data.size();
    AppendInOrder(step, request, node.mapped());
  }
}

void Complete(step_context& step, request_state& request) {
  if (agent* peer = FindAgent(step.state, request.current->agent)) {
    peer->failures = 0;
  }
  request.current_outcome = wire::outcome::kRan;
  ClearSuspect(step, request);
  CountFinished(step, request);
  step.Emit(count_metric{"wisteriaroute_tokens_total",
                         request.response.end->completion_tokens});
  Note(step, request, "finished", request.current->agent,
       request.response.end->reason);
  if (request.non_repeatable) {
    RecordOutcome(step, request, std::nullopt);
    return;
  }
  FinishResponse(step, request);
  Close(step, request);
}

void CompleteIfWhole(step_context& step, request_state& request) {
  const response_state& response = request.response;
  if (response.end && response.head_seen &&
      response.offset >= response.end->end_offset) {
    Complete(step, request);
  }
}

request_state* FindRunning(step_context& step, const wire::attempt_id& id) {
  request_state* request = FindByAttempt(step.state, id);
  if (request == nullptr || request->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return nullptr;
  }
  request->current_outcome = wire::outcome::kRan;
  request->current->last_message_us = step.now_us;
  return request;
}

}  // namespace

void HandleHead(step_context& step, const wire::head& message) {
  request_state* request = FindRunning(step, message.attempt);
  if (request == nullptr || request->response.head_seen) {
    return;
  }
  response_state& response = request->response;
  const bool plain = request->kind == wire::work_kind::kPlain;
  if (!plain && message.status != 200 &&
      (response.offset > 0 || request->stream_started)) {
    // The server refused to resume a generation; the callers have part of it.
    HandleLost(step, *request, wire::outcome::kRan,
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
                           step.now_us - request->arrived_us});
  if (IsEventStream(*request)) {
    StartStream(step, *request, 200, StreamHeaders());
  }
  AppendBufferedChunks(step, *request);
  CompleteIfWhole(step, *request);
}

void HandleChunk(step_context& step, const wire::chunk& message) {
  request_state* request = FindRunning(step, message.attempt);
  if (request == nullptr) {
    return;
  }
  response_state& response = request->response;
  const bool early = !response.head_seen;
  // The unit of the offset isn't known until the head has arrived.
  if (early) {
    BufferChunk(step, response, message);
    return;
  }
  const bool first = response.offset == 0;
  switch (AppendInOrder(step, *request, message)) {
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
                             step.now_us - request->arrived_us});
  }
  AppendBufferedChunks(step, *request);
  if (request->non_repeatable &&
      response.text.size() > kMaxNonRepeatableBytes) {
    RecordOutcome(step, *request,
                  error_reply{.status = 502,
                              .code = "response_too_large",
                              .message = "the response exceeds 16 MiB"});
    return;
  }
  if (response.end) {
    CompleteIfWhole(step, *request);
  }
}

void HandleFinish(step_context& step, const wire::finish& message) {
  request_state* request = FindRunning(step, message.attempt);
  if (request == nullptr) {
    return;
  }
  request->response.end = message;
  CompleteIfWhole(step, *request);
}

void FinishResponse(step_context& step, request_state& request) {
  response_state& response = request.response;
  if (IsEventStream(request)) {
    StartStream(step, request, 200, StreamHeaders());
    WriteStream(step, request, FinishEvents(request, *response.end));
    EndStream(step, request);
  } else if (CountsTokens(request)) {
    Respond(step, request, 200, {{"Content-Type", "application/json"}},
            CompletionBody(request, *response.end));
  } else if (request.stream_started) {
    EndStream(step, request);
  } else {
    Respond(step, request, response.status, response.headers, response.text);
  }
}

void SendStreamSoFar(step_context& step,
                     request_state& request,
                     net::exchange_id caller) {
  if (!request.stream_started) {
    return;
  }
  net::http_headers headers = StreamHeaders();
  headers.emplace_back("X-Request-Id", request.request_id);
  step.Emit(stream_start{caller, 200, std::move(headers)});
  if (!request.response.text.empty()) {
    step.Emit(stream_write{caller, ChunkEvent(request, request.response.text)});
  }
}

void KeepAlive(step_context& step, request_state& request) {
  if (request.answered || request.kind == wire::work_kind::kPlain ||
      !request.stream) {
    return;
  }
  const base::time_us since =
      request.stream_started ? request.last_write_us : request.phase_since_us;
  if (step.now_us - since < kKeepAliveUs) {
    return;
  }
  StartStream(step, request, 200, StreamHeaders());
  WriteStream(step, request, ": waiting\n\n");
}

void RequestMissingPart(step_context& step, request_state& request) {
  response_state& response = request.response;
  const bool behind =
      !response.buffered_chunks.empty() || response.end.has_value();
  if (!behind || response.missing_since_us == 0) {
    response.missing_since_us = behind ? step.now_us : 0;
    return;
  }
  const agent* peer = FindAgent(step.state, request.current->agent);
  if (peer == nullptr || peer->link == 0 ||
      step.now_us - response.missing_since_us < kGapTimeoutUs) {
    return;
  }
  response.missing_since_us = step.now_us;
  step.Emit(count_metric{"wisteriaroute_gaps_total"});
  step.Emit(send_work{peer->link,
                      wire::attach{request.current->id, response.offset}});
}

}  // namespace wisteriaroute::entry
