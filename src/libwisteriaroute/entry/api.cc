#include "libwisteriaroute/entry/api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/agent/prefix_blocks.h"
#include "libwisteriaroute/base/json_input.h"

namespace wisteriaroute::entry {

namespace {

using nlohmann::json;

constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kHighestMaxTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;
// 16 KiB of shared prefix; further blocks cost time and don't change routing.
constexpr std::size_t kMaxPrefixBlocks = 256;
constexpr std::size_t kMaxSharedMessages = 64;

std::string Quoted(std::string_view text) {
  std::string out = "\"";
  AppendEscaped(text, out);
  out += '"';
  return out;
}

json ParseBounded(std::string_view body) {
  if (base::IsNestedDeeper(body, base::kMaxJsonDepth)) {
    throw std::invalid_argument("nested more than 32 levels deep");
  }
  return json::parse(body);
}

std::size_t TextBytes(const json& value) {
  if (value.is_string()) {
    return value.get_ref<const std::string&>().size();
  }
  std::size_t sum = 0;
  if (value.is_structured()) {
    for (const json& item : value) {
      sum += TextBytes(item);
    }
  }
  return sum;
}

std::string CheckPrompt(wire::work_kind kind,
                        const json& body,
                        std::size_t& text_bytes) {
  if (kind == wire::work_kind::kCompletion) {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !(prompt->is_string() || prompt->is_array())) {
      return "'prompt' must be a string or an array";
    }
    text_bytes = TextBytes(*prompt);
    return {};
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return "'messages' must be an array that isn't empty";
  }
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content")) {
      return "each message must have a 'role' and a 'content'";
    }
    text_bytes += TextBytes(message["content"]);
  }
  return {};
}

std::vector<base::digest128> SharedMessages(const json& body) {
  std::vector<base::digest128> digests;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return digests;
  }
  for (const json& message : *messages) {
    if (digests.size() > kMaxSharedMessages) {
      break;
    }
    digests.push_back(base::Digest128("message " + message.dump()));
  }
  if (!digests.empty()) {
    digests.pop_back();
  }
  return digests;
}

std::string ReadMaxTokens(const json& body, generation_body& out) {
  out.max_tokens = kDefaultMaxTokens;
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto found = body.find(name);
    if (found == body.end() || found->is_null()) {
      continue;
    }
    if (!found->is_number_integer() || found->get<double>() < 1 ||
        found->get<double>() > kHighestMaxTokens) {
      return std::string("'") + name + "' must be an integer from 1 to 1000000";
    }
    out.max_tokens = found->get<std::uint32_t>();
  }
  return {};
}

std::string ReadModel(const json& body, generation_body& out) {
  const auto found = body.find("model");
  if (found == body.end() || !found->is_string()) {
    return "'model' must be a string";
  }
  out.model = found->get<std::string>();
  const std::size_t colon = out.model.find(':');
  if (colon != std::string::npos) {
    out.adapter = out.model.substr(colon + 1);
    out.model.resize(colon);
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return "'stream' must be true or false";
    }
    out.stream = stream->get<bool>();
  }
  return {};
}

// Appends the part of an event before the text of its choice.
void AppendEventStart(const request_state& request, std::string& out) {
  const bool chat = request.kind == wire::work_kind::kChatCompletion;
  out += R"(data: {"id":)";
  out += Quoted(request.request_id);
  out += chat ? R"(,"object":"chat.completion.chunk","created":)"
              : R"(,"object":"text_completion","created":)";
  out += std::to_string(request.created_s);
  out += R"(,"model":)";
  out += Quoted(request.model);
  out += R"(,"choices":[{"index":0,)";
}

std::string Usage(const wire::finish& end) {
  return R"("usage":{"prompt_tokens":)" + std::to_string(end.prompt_tokens) +
         R"(,"completion_tokens":)" + std::to_string(end.completion_tokens) +
         R"(,"total_tokens":)" +
         std::to_string(std::uint64_t{end.prompt_tokens} +
                        end.completion_tokens) +
         R"(,"prompt_tokens_details":{"cached_tokens":)" +
         std::to_string(end.cached_tokens) + "}}";
}

}  // namespace

std::variant<generation_body, std::string> ParseGeneration(
    wire::work_kind kind,
    std::string_view body) {
  generation_body out;
  try {
    const json parsed = ParseBounded(body);
    if (!parsed.is_object()) {
      return "the body must be a JSON object";
    }
    std::size_t text_bytes = 0;
    std::string fault = ReadModel(parsed, out);
    if (fault.empty()) {
      fault = CheckPrompt(kind, parsed, text_bytes);
    }
    if (fault.empty()) {
      fault = ReadMaxTokens(parsed, out);
    }
    if (!fault.empty()) {
      return fault;
    }
    out.prefix_blocks = agent::PrefixBlockHashes(agent::PromptText(parsed));
    if (out.prefix_blocks.size() > kMaxPrefixBlocks) {
      out.prefix_blocks.resize(kMaxPrefixBlocks);
    }
    out.shared_messages = SharedMessages(parsed);
    out.prompt_tokens = static_cast<std::uint32_t>(
        std::max<std::size_t>(text_bytes / kBytesPerToken, 1));
    return out;
  } catch (const std::exception& error) {
    return std::string("the body isn't valid JSON: ") + error.what();
  }
}

void AppendEscaped(std::string_view text, std::string& out) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::size_t copied = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c >= 0x20 && c != '"' && c != '\\') {
      continue;
    }
    out.append(text, copied, i - copied);
    copied = i + 1;
    switch (c) {
      case '"':
        out += "\\\"";
        break;
      case '\\':
        out += "\\\\";
        break;
      case '\n':
        out += "\\n";
        break;
      case '\r':
        out += "\\r";
        break;
      case '\t':
        out += "\\t";
        break;
      default:
        out += "\\u00";
        out += kDigits[c >> 4];
        out += kDigits[c & 15];
    }
  }
  out.append(text, copied, text.size() - copied);
}

std::string ErrorBody(const error_reply& error, std::string_view request_id) {
  std::string out = R"({"error":{"code":)";
  out += Quoted(error.code);
  out += R"(,"message":)";
  out += Quoted(error.message);
  out += R"(,"outcome":")";
  out += wire::ToString(error.ran);
  out += R"(","request_id":)";
  out += Quoted(request_id);
  out += "}}";
  return out;
}

std::string ChunkEvent(const request_state& request, std::string_view text) {
  std::string out;
  out.reserve(192 + request.request_id.size() + request.model.size() +
              text.size());
  AppendEventStart(request, out);
  const bool chat = request.kind == wire::work_kind::kChatCompletion;
  out += chat ? R"("delta":{"content":")" : R"("text":")";
  AppendEscaped(text, out);
  out += chat ? "\"},\"finish_reason\":null}]}\n\n"
              : "\",\"finish_reason\":null}]}\n\n";
  return out;
}

std::string FinishEvents(const request_state& request,
                         const wire::finish& end) {
  std::string out;
  AppendEventStart(request, out);
  out += request.kind == wire::work_kind::kChatCompletion ? R"("delta":{})"
                                                          : R"("text":"")";
  out += R"(,"finish_reason":)" +
         Quoted(end.reason.empty() ? "stop" : end.reason) + "}]," + Usage(end) +
         "}\n\ndata: [DONE]\n\n";
  return out;
}

std::string ErrorEvent(const error_reply& error, std::string_view request_id) {
  return "event: error\ndata: " + ErrorBody(error, request_id) + "\n\n";
}

std::string CompletionBody(const request_state& request,
                           const wire::finish& end) {
  const bool chat = request.kind == wire::work_kind::kChatCompletion;
  std::string out = R"({"id":)" + Quoted(request.request_id);
  out += chat ? R"(,"object":"chat.completion")"
              : R"(,"object":"text_completion")";
  out += R"(,"created":)" + std::to_string(request.created_s) + R"(,"model":)" +
         Quoted(request.model) + R"(,"choices":[{"index":0,)";
  out += chat ? R"("message":{"role":"assistant","content":")" : R"("text":")";
  AppendEscaped(request.response.text, out);
  out += chat ? "\"}" : "\"";
  out += R"(,"finish_reason":)" +
         Quoted(end.reason.empty() ? "stop" : end.reason) + "}]," + Usage(end) +
         "}";
  return out;
}

std::string ModelList(const std::vector<std::string>& models) {
  std::string out = R"({"object":"list","data":[)";
  for (std::size_t i = 0; i < models.size(); ++i) {
    out += i == 0 ? "" : ",";
    out += R"({"id":)" + Quoted(models[i]) +
           R"(,"object":"model","created":0,"owned_by":"wisteriaroute"})";
  }
  return out + "]}";
}

}  // namespace wisteriaroute::entry
