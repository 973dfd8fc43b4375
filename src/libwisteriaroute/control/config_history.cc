#include "libwisteriaroute/control/config_history.h"

#include <algorithm>
#include <optional>
#include <ranges>

namespace wisteriaroute::control {

namespace {

base::digest128 Add(const base::digest128& a, const base::digest128& b) {
  return {.high = a.high + b.high, .low = a.low + b.low};
}

base::digest128 Subtract(const base::digest128& a, const base::digest128& b) {
  return {.high = a.high - b.high, .low = a.low - b.low};
}

void AppendField(std::string& out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

base::digest128 ObjectDigest(const wire::object_name& name,
                             std::string_view body) {
  std::string text;
  AppendField(text, name.kind);
  AppendField(text, name.name);
  AppendField(text, body);
  return base::Digest128(text);
}

void ApplyChange(config_history& history, const publish_command& command) {
  for (const wire::object_name& name : command.removed) {
    history.objects.erase(name);
  }
  for (const wire::config_object& object : command.changed) {
    history.objects[{object.kind, object.name}] = object.body;
  }
  history.digest = command.result_digest;
  ++history.revision;
}

base::digest128 SetDigest(const config_history& history) {
  const std::string_view document = DocumentBody(history);
  if (document.empty() || history.objects.size() != 1) {
    return history.digest;
  }
  return ObjectDigest(history.objects.begin()->first, document);
}

template <typename T>
void Trim(std::deque<T>& kept, std::size_t limit) {
  while (kept.size() > limit) {
    kept.pop_front();
  }
}

}  // namespace

publish_result PublishDocument(config_history& history,
                               const wire::publish_document& document) {
  if (document.version <= history.revision) {
    return {.revision = history.revision, .repeated = true};
  }
  const wire::object_name name{std::string(kDocumentKind),
                               std::string(kDocumentKind)};
  // Members always receive the whole document, so no deltas are kept.
  history.deltas.clear();
  history.operations.clear();
  history.objects.clear();
  // Documents are published frequently, and the digest is rarely needed for a
  // later change; SetDigest computes it on demand.
  history.digest = {};
  history.objects[name] = document.body;
  history.revision = document.version;
  return {.revision = history.revision};
}

std::string_view DocumentBody(const config_history& history) {
  const auto found = history.objects.find(
      {std::string(kDocumentKind), std::string(kDocumentKind)});
  return found == history.objects.end() ? std::string_view() : found->second;
}

publish_result Publish(config_history& history,
                       const publish_command& command,
                       base::time_ms log_time_ms) {
  const auto known = std::ranges::find(history.operations, command.operation_id,
                                       &publish_operation::operation_id);
  if (known != history.operations.end()) {
    if (known->content_digest != command.content_digest) {
      return {.code = publish_code::kOperationReused,
              .revision = history.revision};
    }
    return {.revision = known->revision, .repeated = true};
  }
  // An operation older than the kept ones also has an older base revision, so
  // its resend is refused here and not applied twice.
  if (command.base_revision != history.revision || !command.validated) {
    return {.code = publish_code::kStaleBase, .revision = history.revision};
  }
  if (DigestAfter(history, command.changed, command.removed) !=
      command.result_digest) {
    return {.code = publish_code::kDigestMismatch,
            .revision = history.revision};
  }
  ApplyChange(history, command);
  history.deltas.push_back({.revision = history.revision,
                            .operation_id = command.operation_id,
                            .time_ms = log_time_ms,
                            .changed = command.changed,
                            .removed = command.removed});
  history.operations.push_back({.operation_id = command.operation_id,
                                .content_digest = command.content_digest,
                                .revision = history.revision});
  Trim(history.deltas, kKeptDeltas);
  Trim(history.operations, kKeptOperations);
  return {.revision = history.revision};
}

wire::config_update UpdateSince(const config_history& history,
                                std::uint64_t from) {
  wire::config_update update{.base_revision = from,
                             .revision = history.revision};
  const bool covered = from != 0 && from <= history.revision &&
                       (from == history.revision ||
                        (!history.deltas.empty() &&
                         history.deltas.front().revision <= from + 1));
  if (!covered) {
    update.base_revision = 0;
    update.changed = Objects(history);
    return update;
  }
  std::map<wire::object_name, std::optional<std::string>> net;
  for (const revision_delta& delta : history.deltas) {
    if (delta.revision <= from) {
      continue;
    }
    for (const wire::object_name& name : delta.removed) {
      net[name] = std::nullopt;
    }
    for (const wire::config_object& object : delta.changed) {
      net[{object.kind, object.name}] = object.body;
    }
  }
  for (const auto& [name, body] : net) {
    if (body) {
      update.changed.push_back({name.kind, name.name, *body});
    } else {
      update.removed.push_back(name);
    }
  }
  return update;
}

std::vector<wire::config_object> Objects(const config_history& history) {
  std::vector<wire::config_object> objects;
  objects.reserve(history.objects.size());
  for (const auto& [name, body] : history.objects) {
    objects.push_back({name.kind, name.name, body});
  }
  return objects;
}

base::digest128 ContentDigest(const wire::publish_request& request) {
  std::string text = request.full ? "whole;" : "changes;";
  for (const wire::config_object& object : request.changed) {
    text += '+';
    AppendField(text, object.kind);
    AppendField(text, object.name);
    AppendField(text, object.body);
  }
  for (const wire::object_name& name : request.removed) {
    text += '-';
    AppendField(text, name.kind);
    AppendField(text, name.name);
  }
  return base::Digest128(text);
}

base::digest128 DigestAfter(const config_history& history,
                            const std::vector<wire::config_object>& changed,
                            const std::vector<wire::object_name>& removed) {
  std::map<wire::object_name, std::optional<std::string_view>> net;
  for (const wire::object_name& name : removed) {
    net[name] = std::nullopt;
  }
  for (const wire::config_object& object : changed) {
    net[{object.kind, object.name}] = object.body;
  }
  base::digest128 digest = SetDigest(history);
  for (const auto& [name, body] : net) {
    const auto old = history.objects.find(name);
    if (old != history.objects.end()) {
      digest = Subtract(digest, ObjectDigest(name, old->second));
    }
    if (body) {
      digest = Add(digest, ObjectDigest(name, *body));
    }
  }
  return digest;
}

}  // namespace wisteriaroute::control
