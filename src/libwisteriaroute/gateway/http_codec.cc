#include "libwisteriaroute/gateway/http_codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriaroute::gateway {

namespace {

using net::FindHeader;

constexpr unsigned kMisdirected = 421;
// Header names defined by HTTP and by server-sent events.
constexpr std::string_view kAuthorization = "authorization";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kLastEventId = "last-event-id";
constexpr std::string_view kRetryAfter = "retry-after";
constexpr unsigned kUnavailable = 503;
// Bounds what a caller may add to the memory of each entry.
constexpr std::size_t kMaxSharedParts = 16;
constexpr std::size_t kMaxPartIdBytes = 64;
// A server that needs a longer pause would leave instead, so longer pauses are
// rejected as mistakes.
constexpr double kMaxPauseS = 600;
// The longest cold time that a configuration may name.
constexpr double kMaxColdMs = 86'400'000;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/** Removes the next field of a comma-separated list from `text` and returns it.
 */
std::string_view NextField(std::string_view& text) {
  const std::size_t comma = text.find(',');
  const std::string_view field = text.substr(0, comma);
  text = comma == text.npos ? std::string_view() : text.substr(comma + 1);
  return field;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

std::optional<server_load> ParseLoad(std::string_view text) {
  const auto running = ParseNumber<std::int64_t>(NextField(text));
  const auto waiting = ParseNumber<std::int64_t>(NextField(text));
  const auto slots = ParseNumber<std::int64_t>(NextField(text));
  if (!running || !waiting || !slots) {
    return std::nullopt;
  }
  return server_load{*running, *waiting, *slots};
}

std::vector<prompt_part> ParseSharedParts(std::string_view text) {
  std::vector<prompt_part> parts;
  while (!text.empty() && parts.size() <= kMaxSharedParts) {
    const std::string_view field = NextField(text);
    const std::string id = net::LowerCase(field.substr(0, field.find(':')));
    if (id.empty() || id.size() > kMaxPartIdBytes) {
      return {};
    }
    parts.push_back({.id = id, .digest = base::Digest128("part " + id)});
  }
  if (!parts.empty()) {
    parts.pop_back();
  }
  return parts;
}

base::digest128 RequestDigest(const net::http_server_request& request) {
  std::string whole;
  for (const std::string_view field :
       {request.Header(kAuthorization), std::string_view(request.method),
        std::string_view(request.path), std::string_view(request.query),
        std::string_view(request.body)}) {
    whole += std::to_string(field.size());
    whole += ':';
    whole += field;
  }
  return base::Digest128(whole);
}

/** Parses a number of seconds, with or without a fraction, rounded up to ms.
 * Returns nothing if the text is invalid or exceeds kMaxPauseS. */
std::optional<base::time_ms> ParsePause(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
      !(seconds >= 0) || seconds > kMaxPauseS) {
    return std::nullopt;
  }
  return static_cast<base::time_ms>(std::ceil(seconds * 1'000));
}

/** Parses the time in ms that a server stays cold, with or without a fraction,
 * rounded up; an invalid one counts as absent. */
std::optional<base::time_ms> ParseColdLeft(std::string_view text) {
  const auto left_ms = ParseNumber<double>(text);
  return left_ms && *left_ms >= 0 && *left_ms <= kMaxColdMs
             ? std::optional(static_cast<base::time_ms>(std::ceil(*left_ms)))
             : std::nullopt;
}

void ReadPause(const net::http_headers& headers, response_head& to) {
  const auto named = [](const auto& header) {
    return header.first == kRetryAfter;
  };
  const auto found = std::ranges::find_if(headers, named);
  if (found == headers.end()) {
    return;
  }
  if (std::ranges::count_if(headers, named) == 1) {
    to.pause_ms = ParsePause(found->second);
  }
  to.pause_unreadable = !to.pause_ms;
}

/** Whether the gateway sets the caller's header itself or consumes it. */
bool IsReplaced(const header_names& names, std::string_view name) {
  return name == kAuthorization || name == names.deadline_ms ||
         name == names.workspace || name == names.expected_server ||
         name == names.priority || name == kLastEventId ||
         name == "content-length" || name == "expect";
}

bool IsForwarded(std::string_view name, std::string_view connection) {
  return !net::IsHopByHop(name) && !net::HasToken(connection, name);
}

}  // namespace

caller_request DecodeRequest(const header_names& names,
                             const net::http_server_request& request) {
  caller_request decoded{
      .id = std::string(request.Header(names.request_id)),
      .host = net::LowerCase(WithoutPort(request.Header("host"))),
      .path = request.path};
  const std::string_view authorization = request.Header(kAuthorization);
  if (authorization.starts_with(kBearer)) {
    decoded.key = base::Digest128(authorization.substr(kBearer.size()));
  }
  decoded.deadline_ms =
      ParseNumber<std::int64_t>(request.Header(names.deadline_ms)).value_or(0);
  decoded.last_event_id =
      ParseNumber<std::uint64_t>(request.Header(kLastEventId));
  std::string_view usage = request.Header(names.token_usage);
  decoded.prompt_tokens =
      ParseNumber<std::int64_t>(NextField(usage)).value_or(0);
  decoded.max_output_tokens =
      ParseNumber<std::int64_t>(NextField(usage)).value_or(0);
  decoded.expected_output_tokens =
      ParseNumber<std::int64_t>(request.Header(names.expected_output))
          .value_or(0);
  decoded.shared_parts = ParseSharedParts(request.Header(names.prompt_parts));
  decoded.digest = RequestDigest(request);
  return decoded;
}

net::http_headers AttemptHeaders(const header_names& names,
                                 const net::http_server_request& request,
                                 const attempt_terms& terms) {
  net::http_headers headers;
  const std::string_view connection = request.Header("connection");
  for (const auto& [name, value] : request.headers) {
    if (IsForwarded(name, connection) && !IsReplaced(names, name)) {
      headers.emplace_back(name, value);
    }
  }
  headers.emplace_back(names.deadline_ms, std::to_string(terms.deadline_ms));
  if (!terms.expected_server.empty()) {
    headers.emplace_back(names.expected_server, terms.expected_server);
  }
  if (!terms.workspace.empty()) {
    headers.emplace_back(names.workspace, terms.workspace);
  }
  if (terms.priority) {
    headers.emplace_back(names.priority, std::to_string(*terms.priority));
  }
  if (terms.last_event_id) {
    headers.emplace_back(kLastEventId, std::to_string(*terms.last_event_id));
  }
  return headers;
}

response_head DecodeHead(const header_names& names,
                         unsigned status,
                         const net::http_headers& headers) {
  response_head head{
      .status = status,
      .sealed = !FindHeader(headers, names.seal).empty(),
      .not_run =
          !FindHeader(headers, names.not_run).empty() || status == kMisdirected,
      .wrong_server = status == kMisdirected,
      .encoded = !FindHeader(headers, "content-encoding").empty(),
      .event_stream =
          FindHeader(headers, "content-type").starts_with("text/event-stream"),
      .ends_with_connection = FindHeader(headers, "content-length").empty() &&
                              FindHeader(headers, "transfer-encoding").empty(),
      .load = ParseLoad(FindHeader(headers, names.server_load))};
  head.cold_left_ms = ParseColdLeft(FindHeader(headers, names.cold_left_ms));
  const std::string_view leaving = FindHeader(headers, names.server_leaving);
  head.leaving = !leaving.empty() && leaving != "0";
  // With any other status, Retry-After concerns the request, not the server.
  if (status == kUnavailable) {
    ReadPause(headers, head);
    head.server_at_fault = FindHeader(headers, names.server_at_fault);
  }
  const std::string_view connection = FindHeader(headers, "connection");
  for (const auto& [name, value] : headers) {
    if (IsForwarded(name, connection) && name != "content-length") {
      head.headers.emplace_back(name, value);
    }
  }
  return head;
}

}  // namespace wisteriaroute::gateway
