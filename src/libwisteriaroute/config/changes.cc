#include "libwisteriaroute/config/changes.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriaroute::config {

namespace {

using object_key = std::pair<std::string_view, std::string_view>;
using object_index = std::map<object_key, const wire::config_object*>;

object_index Index(std::span<const wire::config_object> objects) {
  object_index index;
  for (const wire::config_object& object : objects) {
    index[{object.kind, object.name}] = &object;
  }
  return index;
}

std::vector<wire::config_object> Collect(const object_index& index) {
  std::vector<wire::config_object> objects;
  objects.reserve(index.size());
  for (const auto& [key, object] : index) {
    objects.push_back(*object);
  }
  return objects;
}

/** Appends the field with a length prefix, which makes the text unambiguous. */
void AppendField(std::string& to, std::string_view field) {
  to += std::to_string(field.size());
  to += ':';
  to += field;
}

}  // namespace

set_changes Diff(std::span<const wire::config_object> from,
                 std::span<const wire::config_object> to) {
  const object_index old_index = Index(from);
  const object_index new_index = Index(to);
  set_changes changes;
  for (const auto& [key, object] : new_index) {
    const auto found = old_index.find(key);
    if (found == old_index.end() || found->second->body != object->body) {
      changes.changed.push_back(*object);
    }
  }
  for (const auto& [key, object] : old_index) {
    if (!new_index.contains(key)) {
      changes.removed.push_back({.kind = object->kind, .name = object->name});
    }
  }
  return changes;
}

set_changes RequestedChanges(const wire::publish_request& request,
                             std::span<const wire::config_object> base) {
  if (request.full) {
    return Diff(base, request.changed);
  }
  return {.changed = request.changed, .removed = request.removed};
}

std::vector<wire::config_object> Apply(
    std::span<const wire::config_object> objects,
    std::span<const wire::config_object> changed,
    std::span<const wire::object_name> removed) {
  object_index index = Index(objects);
  for (const wire::object_name& name : removed) {
    index.erase({name.kind, name.name});
  }
  for (const wire::config_object& object : changed) {
    index[{object.kind, object.name}] = &object;
  }
  return Collect(index);
}

base::digest128 Digest(std::span<const wire::config_object> objects) {
  std::string text;
  for (const auto& [key, object] : Index(objects)) {
    AppendField(text, object->kind);
    AppendField(text, object->name);
    AppendField(text, object->body);
  }
  return base::Digest128(text);
}

update_result Apply(const wire::config_update& update,
                    revision_objects& current) {
  if (update.revision <= current.revision) {
    return update_result::kNotNewer;
  }
  const bool snapshot = update.base_revision == 0;
  if (!snapshot && update.base_revision != current.revision) {
    return update_result::kBaseMismatch;
  }
  const std::vector<wire::config_object> none;
  current.objects =
      Apply(snapshot ? none : current.objects, update.changed, update.removed);
  current.revision = update.revision;
  return update_result::kApplied;
}

}  // namespace wisteriaroute::config
