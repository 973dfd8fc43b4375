#include "libwisteriaroute/agent/engine_protocol.h"

#include <algorithm>
#include <array>
#include <limits>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/json_input.h"

namespace wisteriaroute::agent {

namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;
// Maximum length of an engine's message that is forwarded to control.
constexpr std::size_t kMaxMessageBytes = 200;

/** Parses a JSON object; returns null for anything else. */
json ParseObject(std::string_view text) {
  json parsed = base::ParseJsonInput(text);
  return parsed.is_object() ? parsed : json(nullptr);
}

/**
 * Returns an integer member, limited to the maximum of `Number`; 0 if it is
 * missing, negative or not an integer.
 */
template <typename Number>
Number GetInteger(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_integer()) {
    return 0;
  }
  if (!it->is_number_unsigned() && it->get<std::int64_t>() < 0) {
    return 0;
  }
  constexpr auto kMax =
      static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
  return static_cast<Number>(std::min(it->get<std::uint64_t>(), kMax));
}

std::string GetText(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

bool ReadChoice(const json& choice, stream_event& into) {
  if (!choice.is_object()) {
    return false;
  }
  const auto delta = choice.find("delta");
  if (delta != choice.end() && delta->is_object()) {
    into.text = GetText(*delta, "content");
  } else {
    into.text = GetText(choice, "text");
  }
  into.finish_reason = GetText(choice, "finish_reason");
  return true;
}

call_finished ReadUsage(const json& usage) {
  call_finished figures{
      .prompt_tokens = GetInteger<std::uint32_t>(usage, "prompt_tokens"),
      .completion_tokens =
          GetInteger<std::uint32_t>(usage, "completion_tokens")};
  const auto details = usage.find("prompt_tokens_details");
  if (details != usage.end() && details->is_object()) {
    figures.cached_tokens =
        GetInteger<std::uint32_t>(*details, "cached_tokens");
  }
  return figures;
}

json MapJson(const wire::expert_map& map) {
  return {{"experts", map.experts},
          {"ranks", map.ranks},
          {"layers", map.layers},
          {"slots_per_rank", map.slots_per_rank},
          {"slots", map.slots}};
}

}  // namespace

std::optional<std::string> GenerationBody(const wire::submit& work,
                                          std::uint64_t resume_from) {
  json body = ParseObject(work.body);
  if (body.is_null()) {
    return std::nullopt;
  }
  body["stream"] = true;
  body["priority"] = work.priority;
  if (!work.adapter.empty()) {
    body["adapter"] = work.adapter;
  }
  if (resume_from > 0) {
    body["resume_from"] = resume_from;
    // The text that the entry sent with the submit, up to `resume_offset`. For
    // a reopened stream it covers less than `resume_from`; the engine knows the
    // rest from the offset.
    body["resume_text"] = work.resume_text;
  }
  // Request bodies from callers may contain invalid UTF-8.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stream_event> ParseStreamEvent(std::string_view data) {
  stream_event event;
  if (data == "[DONE]") {
    event.done = true;
    return event;
  }
  const json parsed = ParseObject(data);
  const auto choices = parsed.is_null() ? parsed.end() : parsed.find("choices");
  if (parsed.is_null() || choices == parsed.end() || !choices->is_array()) {
    return std::nullopt;
  }
  // Some engines send a last event that has usage but no choice.
  if (!choices->empty() && !ReadChoice(choices->front(), event)) {
    return std::nullopt;
  }
  if (!event.text.empty()) {
    const auto count = GetInteger<std::uint32_t>(parsed, "token_count");
    event.token_count = count > 0 ? count : 1;
  }
  const auto usage = parsed.find("usage");
  if (usage != parsed.end() && usage->is_object()) {
    event.usage = ReadUsage(*usage);
  }
  return event;
}

std::string OrderBody(const wire::order& order) {
  static constexpr std::array kKinds = {
      "load_model", "load_adapter", "load_version", "change_role",
      "stage_map",  "arm_map",      "decide_map",   "form_group"};
  json body = {{"order_id", order.order_id},
               {"fencing_number",
                {{"term", order.fencing.term}, {"index", order.fencing.index}}},
               {"kind", kKinds.at(static_cast<std::size_t>(order.kind))},
               {"group", order.group},
               {"generation", order.generation},
               {"epoch", order.epoch},
               {"step", order.step},
               {"commit", order.commit},
               {"name", order.name},
               {"version", order.version}};
  if (!order.map.slots.empty() || order.map.layers > 0) {
    body["map"] = MapJson(order.map);
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

order_answered ParseOrderAnswer(std::uint64_t order_id,
                                unsigned status,
                                std::string_view body) {
  const json parsed = ParseObject(body);
  order_answered answer{.order_id = order_id};
  if (parsed.is_null()) {
    answer.message = "status " + std::to_string(status);
    return answer;
  }
  answer.step = GetInteger<std::uint64_t>(parsed, "step");
  answer.message = GetText(parsed, "result").substr(0, kMaxMessageBytes);
  if (answer.message == "fenced") {
    answer.result = wire::order_status::kFenced;
  } else if (answer.message == "too_late") {
    answer.result = wire::order_status::kTooLate;
  } else if (status == kStatusOk && answer.message == "done") {
    answer.result = wire::order_status::kDone;
  }
  return answer;
}

std::optional<wire::load_report> ParseLoad(std::string_view body) {
  const json parsed = ParseObject(body);
  if (parsed.is_null()) {
    return std::nullopt;
  }
  return wire::load_report{
      .queued = GetInteger<std::uint32_t>(parsed, "queued"),
      .running = GetInteger<std::uint32_t>(parsed, "running"),
      .slots = GetInteger<std::uint32_t>(parsed, "slots"),
      .kv_used_tokens = GetInteger<std::uint64_t>(parsed, "kv_used_tokens"),
      .kv_total_tokens = GetInteger<std::uint64_t>(parsed, "kv_total_tokens"),
      .step_time_us = GetInteger<std::uint32_t>(parsed, "step_time_us"),
      .tokens_per_s = GetInteger<std::uint32_t>(parsed, "tokens_per_s"),
      .age_ms = GetInteger<std::int64_t>(parsed, "age_ms")};
}

std::optional<std::vector<cache_change>> ParseCacheEvents(
    std::string_view body) {
  const json parsed = ParseObject(body);
  const auto events = parsed.is_null() ? parsed.end() : parsed.find("events");
  if (parsed.is_null() || events == parsed.end() || !events->is_array()) {
    return std::nullopt;
  }
  std::vector<cache_change> changes;
  for (const json& event : *events) {
    if (!event.is_object()) {
      return std::nullopt;
    }
    const auto added = event.find("added");
    changes.push_back({.sequence = GetInteger<std::uint64_t>(event, "sequence"),
                       .added = added != event.end() && added->is_boolean() &&
                                added->get<bool>(),
                       .block = GetInteger<std::uint64_t>(event, "block")});
  }
  return changes;
}

std::optional<wire::group_report> ParseGroup(std::string_view body) {
  const json parsed = ParseObject(body);
  if (parsed.is_null()) {
    return std::nullopt;
  }
  wire::group_report report{
      .generation = GetInteger<std::uint64_t>(parsed, "generation"),
      .step = GetInteger<std::uint64_t>(parsed, "step"),
      .map_epoch = GetInteger<std::uint64_t>(parsed, "map_epoch"),
      .staged_epoch = GetInteger<std::uint64_t>(parsed, "staged_epoch"),
      .step_time_us = GetInteger<std::uint32_t>(parsed, "step_time_us")};
  const auto tokens = parsed.find("expert_tokens");
  if (tokens != parsed.end() && tokens->is_array()) {
    for (const json& count : *tokens) {
      report.expert_tokens.push_back(
          count.is_number_unsigned() ? count.get<std::uint32_t>() : 0);
    }
  }
  return report;
}

std::string ParseInstance(std::string_view body) {
  const json parsed = ParseObject(body);
  return parsed.is_null() ? "" : GetText(parsed, "instance");
}

}  // namespace wisteriaroute::agent
