#include "standin/server.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>

#include "libwisteriaroute/agent/prefix_blocks.h"
#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::standin {

namespace {

// libev's epoll back end rounds timers to 1 ms, so Tick runs all steps that
// have become due since the last call.
constexpr base::time_us kTickPeriodUs = 1'000;
constexpr base::time_us kLoadSamplePeriodUs = 20'000;
constexpr std::size_t kMaxLoadSamples = 1'024;
constexpr std::uint64_t kSilentAfterTokens = 3;
constexpr int kCrashExitCode = 42;

const net::http_headers json_headers = {{"Content-Type", "application/json"}};

std::uint64_t Number(const nlohmann::json& object,
                     const char* key,
                     std::uint64_t fallback) {
  const auto it = object.find(key);
  return it != object.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : fallback;
}

std::string Text(const nlohmann::json& object,
                 const char* key,
                 const std::string& fallback) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : fallback;
}

// Returns an empty object for other values and for invalid JSON, because
// nlohmann::json::find needs an object.
nlohmann::json ParseObject(const std::string& body) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

std::uint64_t QueryNumber(std::string_view query, std::string_view key) {
  const std::size_t at = query.find(std::string(key) + "=");
  std::uint64_t value = 0;
  if (at != std::string_view::npos) {
    const std::string_view digits = query.substr(at + key.size() + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
  }
  return value;
}

nlohmann::json Choice(const generation_request& request,
                      const std::string& text,
                      bool delta) {
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!request.chat) {
    choice["text"] = text;
  } else if (delta) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  }
  return choice;
}

nlohmann::json Envelope(const generation_request& request, bool delta) {
  const std::string object =
      request.chat ? "chat.completion" : "text_completion";
  return {{"id", "gen-" + std::to_string(request.id)},
          {"object", delta && request.chat ? object + ".chunk" : object},
          {"model", request.model}};
}

}  // namespace

server::server(net::loop& event_loop, server_settings settings)
    : event_loop_(event_loop),
      settings_(std::move(settings)),
      instance_(std::to_string(base::RandomU64())),
      engine_(
          settings_.engine,
          {.on_token =
               [this](generation_id id,
                      std::uint64_t index,
                      const std::string& text) { SendToken(id, index, text); },
           .on_end = [this](
                         generation_id id,
                         const nlohmann::json& usage) { SendEnd(id, usage); }}),
      rank_(settings_.rank, base::MonotonicUs()),
      tick_(event_loop.ev(), [this] { Tick(); }),
      http_(event_loop,
            {.body_bytes = 16 * 1024 * 1024},
            {.on_request =
                 [this](net::exchange_id id,
                        const net::http_server_request& request) {
                   Handle(id, request);
                 },
             .on_abandoned =
                 [this](net::exchange_id id) { HandleAbandoned(id); }}) {
  faults_.crash_marker = settings_.crash_marker;
}

std::string server::Listen(std::string_view address) {
  if (!settings_.plain) {
    tick_.Start(kTickPeriodUs, kTickPeriodUs);
  }
  return http_.Listen(address);
}

void server::Reply(net::exchange_id id,
                   unsigned status,
                   const nlohmann::json& body) {
  http_.Respond(id, status, json_headers, body.dump());
}

void server::DropConnection(net::exchange_id id) {
  http_.StartStream(id, 200, {});
  http_.AbortStream(id);
}

void server::Handle(net::exchange_id id,
                    const net::http_server_request& request) {
  if (request.path == "/health") {
    Reply(id, 200, {{"status", "ok"}, {"instance", instance_}});
    return;
  }
  if (request.path == "/faults" && request.method == "POST") {
    SetFaults(id, ParseObject(request.body));
    return;
  }
  if (!faults_.crash_marker.empty() &&
      request.body.find(faults_.crash_marker) != std::string::npos) {
    _exit(kCrashExitCode);
  }
  const bool is_work = request.method == "POST" &&
                       (settings_.plain || request.path.starts_with("/v1/"));
  if (is_work && faults_.drop_before > 0) {
    --faults_.drop_before;
    DropConnection(id);
    return;
  }
  if (faults_.delay_us > 0) {
    auto delay = std::make_shared<std::optional<net::timer>>();
    delay->emplace(event_loop_.ev(), [this, id, request, delay] {
      Dispatch(id, request);
      event_loop_.Defer([delay] { delay->reset(); });
    });
    (*delay)->Start(faults_.delay_us);
    return;
  }
  Dispatch(id, request);
}

void server::Dispatch(net::exchange_id id,
                      const net::http_server_request& request) {
  if (!settings_.plain) {
    if (!DispatchEngine(id, request)) {
      Reply(id, 404, {{"error", {{"message", "no such path"}}}});
    }
    return;
  }
  if (request.path != "/bookings") {
    http_.Respond(id, 200, {{"X-Echo-Path", request.path + request.query}},
                  request.method + " " + request.path + request.query + "\n" +
                      request.body);
    return;
  }
  if (request.method != "POST") {
    Reply(id, 200, plain_.List());
    return;
  }
  const booking& booked =
      plain_.Book(std::string(request.Header("idempotency-key")),
                  std::string(request.Header("x-attempt-id")), request.body);
  if (faults_.drop_after > 0) {
    --faults_.drop_after;
    DropConnection(id);
    return;
  }
  const nlohmann::json answer = {{"booking", booked.number},
                                 {"body", booked.body}};
  if (settings_.booking_time_us == 0) {
    Reply(id, 201, answer);
    return;
  }
  auto delay = std::make_shared<std::optional<net::timer>>();
  delay->emplace(event_loop_.ev(), [this, id, answer, delay] {
    Reply(id, 201, answer);
    event_loop_.Defer([delay] { delay->reset(); });
  });
  (*delay)->Start(settings_.booking_time_us);
}

bool server::DispatchEngine(net::exchange_id id,
                            const net::http_server_request& request) {
  const std::string& path = request.path;
  const nlohmann::json body = ParseObject(request.body);
  if (request.method == "GET") {
    if (path == "/load") {
      Reply(id, 200, Load());
    } else if (path == "/cache/events") {
      Reply(id, 200, CacheEvents(request.query));
    } else if (path == "/group") {
      rank_.Advance(base::MonotonicUs());
      nlohmann::json report = rank_.Report();
      if (QueryNumber(request.query, "take_tokens") == 1) {
        report["expert_tokens"] = rank_.TakeExpertTokens(base::MonotonicUs());
      }
      Reply(id, 200, report);
    } else if (path == "/v1/models") {
      Reply(id, 200,
            {{"object", "list"},
             {"data", {{{"id", settings_.model}, {"object", "model"}}}}});
    } else {
      return false;
    }
    return true;
  }
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    Generate(id, request, body);
  } else if (path == "/control/cancel") {
    Reply(id, 200,
          {{"cancelled", engine_.CancelAttempt(Text(body, "attempt_id", ""))}});
  } else if (path == "/orders") {
    const order_answer answer = rank_.Apply(body, base::MonotonicUs());
    Reply(id, answer.status, answer.body);
  } else if (path == "/kv/export") {
    Reply(id, 200,
          {{"blocks", agent::PrefixBlockHashes(agent::PromptText(body))}});
  } else if (path == "/kv/import") {
    std::vector<std::uint64_t> blocks;
    for (const nlohmann::json& block :
         body.value("blocks", nlohmann::json::array())) {
      if (block.is_number_unsigned()) {
        blocks.push_back(block.get<std::uint64_t>());
      }
    }
    engine_.cache().Insert(blocks, base::MonotonicUs());
    Reply(id, 200, {{"imported", blocks.size()}});
  } else {
    return false;
  }
  return true;
}

void server::Generate(net::exchange_id id,
                      const net::http_server_request& request,
                      const nlohmann::json& body) {
  const bool chat = request.path == "/v1/chat/completions";
  if (!body.contains(chat ? "messages" : "prompt")) {
    Reply(id, 400, {{"error", {{"message", "the prompt is missing"}}}});
    return;
  }
  stream added;
  added.request = {.id = id,
                   .attempt_id = std::string(request.Header("x-attempt-id")),
                   .prompt = agent::PromptText(body),
                   .model = Text(body, "model", settings_.model),
                   .chat = chat,
                   .stream = body.contains("stream") && body["stream"] == true,
                   .max_tokens = Number(body, "max_tokens", 16),
                   .resume_from = Number(body, "resume_from", 0),
                   .priority = Number(body, "priority", 5)};
  if (added.request.stream) {
    if (faults_.malformed_streams > 0) {
      --faults_.malformed_streams;
      added.malformed = true;
    }
    if (faults_.silent_streams > 0) {
      --faults_.silent_streams;
      added.silent = true;
    }
  }
  const generation_request wanted = added.request;
  streams_[id] = std::move(added);
  if (!engine_.Add(wanted, base::MonotonicUs())) {
    streams_.erase(id);
    Reply(id, 503, {{"error", {{"message", "the queue is full"}}}});
    return;
  }
  if (wanted.stream) {
    http_.StartStream(id, 200, {{"Content-Type", "text/event-stream"}});
  }
}

void server::SendToken(generation_id id,
                       std::uint64_t index,
                       const std::string& text) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return;
  }
  stream& target = it->second;
  if (!target.request.stream) {
    target.text += text;
    return;
  }
  if (target.silent && target.sent_tokens >= kSilentAfterTokens) {
    return;
  }
  std::string events;
  if (target.malformed && target.sent_tokens == 1) {
    events = "data: {\"choices\": [{\"text\": \xff\xfe\n\ndata: 7\n\n";
  }
  ++target.sent_tokens;
  nlohmann::json event = Envelope(target.request, true);
  event["choices"] = {Choice(target.request, text, true)};
  event["token_index"] = index;
  events += "data: " + event.dump() + "\n\n";
  // May abandon the exchange, which erases `target`.
  http_.Write(id, events);
}

void server::SendEnd(generation_id id, const nlohmann::json& usage) {
  const auto node = streams_.extract(id);
  if (node.empty() || node.mapped().silent) {
    return;
  }
  const stream& target = node.mapped();
  nlohmann::json last = Envelope(target.request, target.request.stream);
  nlohmann::json choice =
      Choice(target.request, target.text, target.request.stream);
  choice["finish_reason"] = "length";
  last["choices"] = {choice};
  last["usage"] = usage;
  if (!target.request.stream) {
    Reply(id, 200, last);
    return;
  }
  http_.Write(id, "data: " + last.dump() + "\n\ndata: [DONE]\n\n");
  http_.EndStream(id);
}

void server::HandleAbandoned(net::exchange_id id) {
  engine_.Cancel(id);
  streams_.erase(id);
}

void server::SetFaults(net::exchange_id id, const nlohmann::json& body) {
  faults_.crash_marker = Text(body, "crash_marker", faults_.crash_marker);
  faults_.delay_us = static_cast<base::time_us>(
      Number(body, "delay_ms", faults_.delay_us / 1'000) * 1'000);
  faults_.drop_before = Number(body, "drop_before", faults_.drop_before);
  faults_.drop_after = Number(body, "drop_after", faults_.drop_after);
  faults_.malformed_streams =
      Number(body, "malformed_streams", faults_.malformed_streams);
  faults_.silent_streams =
      Number(body, "silent_streams", faults_.silent_streams);
  Reply(id, 200, {{"ok", true}});
  const std::uint64_t freeze_ms = Number(body, "freeze_ms", 0);
  if (freeze_ms > 0) {
    // Blocks the event loop. The delay lets the response be sent first.
    auto delay = std::make_shared<std::optional<net::timer>>();
    delay->emplace(event_loop_.ev(), [this, freeze_ms, delay] {
      usleep(static_cast<useconds_t>(freeze_ms * 1'000));
      event_loop_.Defer([delay] { delay->reset(); });
    });
    (*delay)->Start(10'000);
  }
}

nlohmann::json server::Load() const {
  const base::time_us now_us = base::MonotonicUs();
  engine_load sample;
  for (const engine_load& load : load_samples_) {
    if (load.at_us + settings_.load_lag_us <= now_us) {
      sample = load;
    }
  }
  return {{"queued", sample.queued},
          {"running", sample.running},
          {"slots", settings_.engine.slots},
          {"kv_used_tokens", sample.kv_used},
          {"kv_total_tokens", settings_.engine.kv_tokens},
          {"step_time_us", settings_.engine.step_time_us},
          {"tokens_per_s", sample.tokens_per_s},
          {"age_ms", sample.at_us == 0 ? 0 : (now_us - sample.at_us) / 1'000}};
}

nlohmann::json server::CacheEvents(std::string_view query) {
  nlohmann::json events = nlohmann::json::array();
  for (const cache_event& event :
       engine_.cache().Events(QueryNumber(query, "after"), base::MonotonicUs(),
                              settings_.cache_lag_us)) {
    if (settings_.cache_gap_every == 0 ||
        event.sequence % settings_.cache_gap_every != 0) {
      events.push_back({{"sequence", event.sequence},
                        {"added", event.added},
                        {"block", event.block}});
    }
  }
  return {{"events", std::move(events)}};
}

void server::Tick() {
  const base::time_us now_us = base::MonotonicUs();
  rank_.Advance(now_us);
  if (engine_.idle() || rank_.waiting()) {
    next_step_us_ = now_us + settings_.engine.step_time_us;
  }
  while (next_step_us_ <= now_us) {
    engine_.Step(now_us);
    next_step_us_ += settings_.engine.step_time_us;
  }
  if (load_samples_.empty() ||
      load_samples_.back().at_us + kLoadSamplePeriodUs <= now_us) {
    load_samples_.push_back(engine_.Load(now_us));
    if (load_samples_.size() > kMaxLoadSamples) {
      load_samples_.pop_front();
    }
  }
}

}  // namespace wisteriaroute::standin
