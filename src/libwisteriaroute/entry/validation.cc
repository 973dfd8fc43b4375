#include "libwisteriaroute/entry/validation.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/entry/api.h"
#include "libwisteriaroute/entry/idempotency_key.h"

namespace wisteriaroute::entry {

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::uint8_t kDefaultPriority = 5;
constexpr std::size_t kBytesPerToken = 4;

// Hop-by-hop headers (RFC 9110 section 7.6.1) and headers that the entry sets
// or handles itself.
constexpr std::array<std::string_view, 13> kNotForwardedHeaders = {
    "connection",        "keep-alive", "proxy-authenticate",
    "proxy-connection",  "te",         "trailer",
    "transfer-encoding", "upgrade",    "proxy-authorization",
    "authorization",     "host",       "content-length",
    "x-request-id",
};

error_reply NotRun(unsigned status, std::string code, std::string message) {
  return {.status = status,
          .code = std::move(code),
          .message = std::move(message),
          .ran = wire::outcome::kNotRun};
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/** Parses a number from 0 to `max`. Empty text leaves `value` unchanged. */
bool ReadNumber(std::string_view text, std::int64_t max, std::int64_t& value) {
  if (text.empty()) {
    return true;
  }
  std::int64_t read = 0;
  const auto [end, fault] =
      std::from_chars(text.data(), text.data() + text.size(), read);
  if (fault != std::errc() || end != text.data() + text.size() || read < 0 ||
      read > max) {
    return false;
  }
  value = read;
  return true;
}

bool ListsOption(std::string_view connection, std::string_view name) {
  while (!connection.empty()) {
    const std::size_t comma = std::min(connection.find(','), connection.size());
    std::string_view option = connection.substr(0, comma);
    connection.remove_prefix(std::min(comma + 1, connection.size()));
    while (option.starts_with(' ')) {
      option.remove_prefix(1);
    }
    while (option.ends_with(' ')) {
      option.remove_suffix(1);
    }
    if (option.size() == name.size() &&
        std::equal(option.begin(), option.end(), name.begin(),
                   [](char a, char b) {
                     return (a >= 'A' && a <= 'Z' ? a + 32 : a) == b;
                   })) {
      return true;
    }
  }
  return false;
}

// Headers that are named in Connection are hop-by-hop, too.
wire::header_list ForwardedHeaders(const net::http_headers& headers,
                                   std::string_view connection) {
  wire::header_list out;
  for (const auto& [name, value] : headers) {
    const bool listed =
        std::find(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(),
                  name) != kNotForwardedHeaders.end();
    if (!listed && !ListsOption(connection, name)) {
      out.emplace_back(name, value);
    }
  }
  return out;
}

std::optional<error_reply> ReadGeneration(const entry_state& state,
                                          const config::workspace& owner,
                                          wire::work_kind kind,
                                          request_state& out) {
  if (out.method != "POST") {
    return NotRun(405, "method_not_allowed", "use POST");
  }
  const auto parsed = ParseGeneration(kind, out.body);
  if (const auto* fault = std::get_if<std::string>(&parsed)) {
    return NotRun(400, "invalid_request", *fault);
  }
  const auto& body = std::get<generation_body>(parsed);
  const auto model = state.configuration->models.find(body.model);
  if (model == state.configuration->models.end() ||
      !Contains(owner.models, body.model)) {
    return NotRun(404, "model_not_found",
                  "the workspace has no model '" + body.model + "'");
  }
  if (!body.adapter.empty() &&
      !Contains(model->second.adapters, body.adapter)) {
    return NotRun(404, "adapter_not_found",
                  "the model has no adapter '" + body.adapter + "'");
  }
  if (body.prompt_tokens > model->second.context_tokens) {
    return NotRun(400, "context_too_long",
                  "the prompt exceeds the model's context");
  }
  out.kind = kind;
  out.model = body.model;
  out.adapter = body.adapter;
  out.stream = body.stream;
  out.prompt_tokens = body.prompt_tokens;
  out.max_tokens = body.max_tokens;
  out.prefix_blocks = body.prefix_blocks;
  out.shared_messages = body.shared_messages;
  out.pool = "model/" + body.model;
  return std::nullopt;
}

std::optional<error_reply> ReadService(const entry_state& state,
                                       const config::workspace& owner,
                                       const net::http_server_request& http,
                                       request_state& out) {
  const std::string_view path = http.path;
  const std::size_t end = std::min(path.find('/', 1), path.size());
  const std::string name(path.substr(1, end - 1));
  const auto service = state.configuration->services.find(name);
  if (service == state.configuration->services.end() ||
      !Contains(owner.services, name)) {
    return NotRun(404, "not_found",
                  "the workspace has no service at this path");
  }
  out.kind = wire::work_kind::kPlain;
  out.service = name;
  out.pool = "service/" + name;
  out.target = end == path.size() ? "/" : std::string(path.substr(end));
  out.target += http.query;
  out.prompt_tokens =
      static_cast<std::uint32_t>(http.body.size() / kBytesPerToken);
  out.non_repeatable =
      Contains(service->second.non_repeatable_methods, http.method);
  out.deadline_us = service->second.timeout_ms * 1'000;
  return std::nullopt;
}

std::optional<error_reply> ReadHeaders(const config::workspace& owner,
                                       const net::http_server_request& http,
                                       request_state& out) {
  std::int64_t deadline_ms = out.deadline_us / 1'000;
  if (!ReadNumber(http.Header("x-request-deadline-ms"), kMaxDeadlineMs,
                  deadline_ms)) {
    return NotRun(400, "invalid_header",
                  "X-Request-Deadline-Ms must be milliseconds");
  }
  std::int64_t priority =
      std::max<std::int64_t>(kDefaultPriority, owner.highest_priority);
  if (!ReadNumber(http.Header("x-request-priority"), 9, priority)) {
    return NotRun(400, "invalid_header",
                  "X-Request-Priority must be from 0 to 9");
  }
  out.priority = static_cast<std::uint8_t>(
      std::max<std::int64_t>(priority, owner.highest_priority));
  out.deadline_us = deadline_ms * 1'000;
  out.key = std::string(http.Header("idempotency-key"));
  if (out.key.size() > kMaxKeyBytes) {
    return NotRun(400, "invalid_header",
                  "Idempotency-Key has more than 255 bytes");
  }
  if (out.non_repeatable && out.key.empty()) {
    return NotRun(400, "idempotency_key_required",
                  "calls that may not be repeated need an Idempotency-Key");
  }
  return std::nullopt;
}

void ComputeDigests(request_state& out) {
  out.key_created_ms = KeyCreatedMs(out.key);
  out.key_digest = base::Digest128(out.key);
  std::string whole;
  for (const std::string_view part :
       {std::string_view(out.method), std::string_view(out.pool),
        std::string_view(out.target), std::string_view(out.body)}) {
    whole += std::to_string(part.size());
    whole += ':';
    whole += part;
  }
  out.body_digest = base::Digest128(whole);
  out.fingerprint = base::Digest128(out.workspace + "\n" + whole);
}

}  // namespace

const config::workspace* Authenticate(const entry_state& state,
                                      const net::http_server_request& http) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = http.Header("authorization");
  if (state.configuration == nullptr || !value.starts_with(kScheme)) {
    return nullptr;
  }
  const auto key = state.workspace_of_key.find(
      base::Sha256Hex(value.substr(kScheme.size())));
  if (key == state.workspace_of_key.end()) {
    return nullptr;
  }
  const auto found = state.configuration->workspaces.find(key->second);
  return found == state.configuration->workspaces.end() ? nullptr
                                                        : &found->second;
}

std::string RequestId(entry_state& state,
                      const net::http_server_request& http) {
  const std::string_view given = http.Header("x-request-id");
  const bool usable = !given.empty() && given.size() <= kMaxRequestIdBytes &&
                      std::all_of(given.begin(), given.end(),
                                  [](char c) { return c > ' ' && c < 0x7f; });
  return usable ? std::string(given)
                : "req-" + base::ToString(base::digest128{
                               state.incarnation, state.next_request_id++});
}

std::variant<request_state, error_reply> Validate(const entry_state& state,
                                                  const http_received& event,
                                                  base::time_us now_us) {
  const net::http_server_request& http = event.request;
  const config::workspace* owner = Authenticate(state, http);
  if (owner == nullptr) {
    return NotRun(401, "unauthenticated", "the bearer key isn't known");
  }
  request_state out;
  out.workspace = owner->name;
  out.method = http.method;
  out.body = http.body;
  out.deadline_us = state.settings.default_deadline_ms * 1'000;
  std::optional<error_reply> fault;
  if (http.path == "/v1/chat/completions") {
    fault =
        ReadGeneration(state, *owner, wire::work_kind::kChatCompletion, out);
  } else if (http.path == "/v1/completions") {
    fault = ReadGeneration(state, *owner, wire::work_kind::kCompletion, out);
  } else {
    fault = ReadService(state, *owner, http, out);
  }
  if (!fault) {
    fault = ReadHeaders(*owner, http, out);
  }
  if (fault) {
    return *fault;
  }
  if (out.target.empty()) {
    out.target = http.path;
  }
  out.headers = ForwardedHeaders(http.headers, http.Header("connection"));
  out.arrived_us = now_us;
  out.deadline_us = out.deadline_us == 0 ? 0 : now_us + out.deadline_us;
  out.created_s = event.wall_ms / 1'000;
  out.callers = {event.exchange};
  ComputeDigests(out);
  // This may be the resend of a call that ran; only its claim can tell.
  out.earlier_outcome =
      out.non_repeatable ? wire::outcome::kUnknown : wire::outcome::kNotRun;
  return out;
}

}  // namespace wisteriaroute::entry
