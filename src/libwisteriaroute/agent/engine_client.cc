#include "libwisteriaroute/agent/engine_client.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/agent/engine_protocol.h"

namespace wisteriaroute::agent {

namespace {

// Less than the 1.5 s after which a server that does not answer counts as lost.
constexpr std::int64_t kPollTimeoutMs = 1'000;
constexpr std::int64_t kOrderTimeoutMs = 10'000;
// Maximum body size of the answer to a poll or an order.
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kFirstNonSuccessStatus = 300;

// Headers that apply to a single connection, or that this client sets itself.
constexpr std::array<std::string_view, 12> kDroppedHeaders = {
    "connection", "content-length",    "expect",        "host",
    "keep-alive", "transfer-encoding", "upgrade",       "te",
    "trailer",    "proxy-connection",  "authorization", "x-attempt-id"};

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

bool IsForwarded(std::string_view name, std::string_view value) {
  const bool dropped = std::ranges::any_of(
      kDroppedHeaders,
      [name](std::string_view each) { return EqualsIgnoringCase(each, name); });
  return !dropped && !name.empty() && !HasLineBreak(name) &&
         !HasLineBreak(value);
}

wire::header_list ResponseHeaders(const net::http_headers& headers) {
  wire::header_list forwarded;
  for (const auto& [name, value] : headers) {
    if (IsForwarded(name, value)) {
      forwarded.emplace_back(name, value);
    }
  }
  return forwarded;
}

}  // namespace

engine_client::engine_client(net::loop& event_loop,
                             engine_client_options options,
                             std::function<void(agent_event)> on_event)
    : http_(event_loop),
      options_(std::move(options)),
      on_event_(std::move(on_event)) {}

net::http_client_request engine_client::RequestFor(
    const start_call& effect) const {
  const wire::submit& work = *effect.work;
  net::http_client_request request{.method = work.method};
  for (const auto& [name, value] : work.headers) {
    if (IsForwarded(name, value)) {
      request.headers.emplace_back(name, value);
    }
  }
  request.headers.emplace_back("X-Attempt-Id", base::ToString(work.attempt));
  if (work.kind == wire::work_kind::kPlain) {
    request.url = options_.backend_url + work.target;
    request.body = work.body;
    return request;
  }
  request.method = "POST";
  // The SSE parser can't read compressed streams.
  std::erase_if(request.headers, [](const auto& header) {
    return EqualsIgnoringCase(header.first, "accept-encoding");
  });
  request.url =
      options_.backend_url + (work.kind == wire::work_kind::kChatCompletion
                                  ? "/v1/chat/completions"
                                  : "/v1/completions");
  return request;
}

void engine_client::Start(const start_call& effect) {
  const wire::submit& work = *effect.work;
  const wire::attempt_id attempt = work.attempt;
  const bool generation = work.kind != wire::work_kind::kPlain;
  net::http_client_request request = RequestFor(effect);
  if (generation) {
    auto body = GenerationBody(work, effect.resume_from);
    if (!body) {
      on_event_(call_failed{attempt, call_failure::kNeverSent});
      return;
    }
    request.body = std::move(*body);
  } else if (!work.target.starts_with('/') || HasLineBreak(work.method)) {
    // A target without a leading slash could change the host in the URL, and a
    // line break in the method could inject headers.
    on_event_(call_failed{attempt, call_failure::kNeverSent});
    return;
  }
  auto started = std::make_shared<call>();
  started->attempt = attempt;
  started->stream = generation;
  calls_[attempt] = started;
  started->transfer = http_.Start(
      std::move(request),
      {.on_head =
           [this, started](unsigned status, const net::http_headers& headers) {
             HandleHead(*started, status, headers);
           },
       .on_data = [this, started](
                      std::string_view data) { HandleData(started, data); },
       .on_done =
           [this, started](const net::http_client_result& result) {
             HandleDone(started, result);
           }});
}

void engine_client::HandleHead(call& target,
                               unsigned status,
                               const net::http_headers& headers) {
  if (target.done) {
    return;
  }
  // Anything but 200 is an error of the engine with a plain body.
  target.stream = target.stream && status == kStatusOk;
  on_event_(call_head{target.attempt, static_cast<std::uint16_t>(status),
                      ResponseHeaders(headers)});
}

void engine_client::HandleData(const std::shared_ptr<call>& target,
                               std::string_view data) {
  if (target->done) {
    return;
  }
  if (!target->stream) {
    on_event_(call_data{.attempt = target->attempt, .data = std::string(data)});
    return;
  }
  std::vector<std::string> events;
  if (!target->parser.Feed(data, events)) {
    FailMalformed(target);
    return;
  }
  call_data tokens{.attempt = target->attempt};
  bool ended = false;
  bool malformed = false;
  for (const std::string& text : events) {
    const auto event = ParseStreamEvent(text);
    if (!event) {
      malformed = true;
      break;
    }
    tokens.token_count += event->token_count;
    tokens.data += event->text;
    if (!event->finish_reason.empty()) {
      target->finished.reason = event->finish_reason;
    }
    if (event->usage) {
      const std::string reason = target->finished.reason;
      target->finished = *event->usage;
      target->finished.reason = reason;
    }
    ended = ended || event->done;
  }
  if (tokens.token_count > 0) {
    on_event_(std::move(tokens));
  }
  if (malformed) {
    FailMalformed(target);
  } else if (ended && !target->done) {
    target->finished.attempt = target->attempt;
    const call_finished finished = target->finished;
    CloseCall(target);
    on_event_(finished);
  }
}

void engine_client::HandleDone(const std::shared_ptr<call>& target,
                               const net::http_client_result& result) {
  if (target->done) {
    return;
  }
  CloseCall(target);
  if (result.ok && !target->stream) {
    on_event_(call_finished{.attempt = target->attempt});
  } else {
    // A stream that ends without [DONE] is incomplete even if the transfer
    // succeeded.
    on_event_(call_failed{target->attempt, result.never_sent
                                               ? call_failure::kNeverSent
                                               : call_failure::kBroken});
  }
}

void engine_client::FailMalformed(const std::shared_ptr<call>& target) {
  if (!target->done) {
    CloseCall(target);
    on_event_(call_failed{target->attempt, call_failure::kMalformed});
  }
}

void engine_client::CloseCall(const std::shared_ptr<call>& target) {
  target->done = true;
  http_.Cancel(target->transfer);
  const auto it = calls_.find(target->attempt);
  if (it != calls_.end() && it->second == target) {
    calls_.erase(it);
  }
}

void engine_client::Cancel(const cancel_call& effect) {
  const auto it = calls_.find(effect.attempt);
  if (it == calls_.end()) {
    return;
  }
  const std::shared_ptr<call> target = it->second;
  CloseCall(target);
  if (options_.engine) {
    // The engine detects a closed connection only after a delay, so cancel the
    // attempt explicitly.
    const nlohmann::json body = {
        {"attempt_id", base::ToString(effect.attempt)}};
    Fetch({.method = "POST",
           .url = options_.backend_url + "/control/cancel",
           .body = body.dump(),
           .reuse_connection = true},
          nullptr);
  }
}

void engine_client::Fetch(net::http_client_request request,
                          const body_handler& handler) {
  if (request.timeout_ms == 0) {
    request.timeout_ms = kPollTimeoutMs;
  }
  request.max_body_bytes = kMaxBodyBytes;
  auto body = std::make_shared<std::string>();
  http_.Start(std::move(request),
              {.on_head = nullptr,
               .on_data = [body](std::string_view data) { body->append(data); },
               .on_done =
                   [body, handler](const net::http_client_result& result) {
                     if (handler) {
                       handler(result, *body);
                     }
                   }});
}

void engine_client::Poll(const poll_backend& effect) {
  // Health polls always open a new connection, to detect a server that refuses
  // connections.
  net::http_client_request request{.url = options_.backend_url};
  request.reuse_connection = effect.kind != poll_kind::kHealth;
  switch (effect.kind) {
    case poll_kind::kHealth:
      request.url += options_.health_path;
      Fetch(std::move(request),
            [this, poll = effect.number](const net::http_client_result& result,
                                         const std::string& body) {
              const bool ok = result.ok && result.status >= kStatusOk &&
                              result.status < kFirstNonSuccessStatus;
              on_event_(health_result{.poll = poll,
                                      .ok = ok,
                                      .refused = result.never_sent,
                                      .instance = ParseInstance(body)});
            });
      return;
    case poll_kind::kLoad:
      request.url += "/load";
      Fetch(std::move(request), [this](const net::http_client_result& result,
                                       const std::string& body) {
        const auto load = result.ok ? ParseLoad(body) : std::nullopt;
        on_event_(load_result{.ok = load.has_value(),
                              .load = load.value_or(wire::load_report{})});
      });
      return;
    case poll_kind::kCache:
      request.url += "/cache/events?after=" + std::to_string(effect.number);
      Fetch(std::move(request), [this](const net::http_client_result& result,
                                       const std::string& body) {
        auto changes = result.ok ? ParseCacheEvents(body) : std::nullopt;
        if (changes) {
          on_event_(cache_result{std::move(*changes)});
        }
      });
      return;
    case poll_kind::kGroup:
      request.url += "/group?take_tokens=1";
      Fetch(std::move(request), [this](const net::http_client_result& result,
                                       const std::string& body) {
        const auto report = result.ok ? ParseGroup(body) : std::nullopt;
        on_event_(
            group_result{.ok = report.has_value(),
                         .report = report.value_or(wire::group_report{})});
      });
      return;
  }
}

void engine_client::ForwardOrder(const forward_order& effect) {
  const std::uint64_t id = effect.order.order_id;
  Fetch({.method = "POST",
         .url = options_.backend_url + "/orders",
         .headers = {{"Content-Type", "application/json"}},
         .body = OrderBody(effect.order),
         .timeout_ms = kOrderTimeoutMs},
        [this, id](const net::http_client_result& result,
                   const std::string& body) {
          order_answered answer{.order_id = id,
                                .never_sent = result.never_sent,
                                .message = result.error};
          if (result.ok) {
            answer = ParseOrderAnswer(id, result.status, body);
          }
          on_event_(std::move(answer));
        });
}

}  // namespace wisteriaroute::agent
