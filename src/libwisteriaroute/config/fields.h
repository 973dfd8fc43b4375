#ifndef LIBWISTERIAROUTE_CONFIG_FIELDS_H_
#define LIBWISTERIAROUTE_CONFIG_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <type_traits>

#include "libwisteriaroute/config/object_set.h"

namespace wisteriaroute::config {

/** Satisfied by `Wanted` and `const Wanted`. */
template <typename Object, typename Wanted>
concept object_of = std::same_as<std::remove_const_t<Object>, Wanted>;

/** Whether a reference may be empty. */
enum class presence : std::uint8_t { kOptional, kRequired };

// Maximum values of settings. They keep products and sums of settings within 64
// bits, and expert numbers within the 16 bits that an expert map has for them.
inline constexpr std::int64_t kMaxRanks = 4'096;
inline constexpr std::int64_t kMaxExperts = 65'535;
inline constexpr std::int64_t kMaxLayers = 1'024;
inline constexpr std::int64_t kMaxBytes = std::int64_t{1} << 50;
inline constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
inline constexpr double kMaxWeight = 1e6;

/**
 * Calls a member function of `visitor` for each field of an object, with its
 * key, value and limits. The visitors that read, write and check objects all
 * share this list of fields.
 */
template <typename Visitor, object_of<region> Object>
void VisitFields(Visitor&, Object&) {}

template <typename Visitor, object_of<data_center> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.Reference("region", object.region, "region", presence::kRequired);
}

template <typename Visitor, object_of<backend_class> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.Kind("kind", object.kind);
  visitor.Boolean("checks_fencing", object.checks_fencing);
}

template <typename Visitor, object_of<model> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.RequiredString("version", object.version);
  visitor.Names("adapters", object.adapters);
  visitor.Integer("context_tokens", object.context_tokens, 1, kMaxTokens);
}

template <typename Visitor, object_of<model_group> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.Reference("model", object.model, "model", presence::kRequired);
  visitor.Reference("backend_class", object.backend_class, "backend_class",
                    presence::kRequired);
  visitor.References("data_centers", object.data_centers, "data_center");
  visitor.Integer("ranks", object.ranks, 1, kMaxRanks);
  visitor.Integer("experts", object.experts, 1, kMaxExperts);
  visitor.Integer("layers", object.layers, 1, kMaxLayers);
  visitor.Integer("slots_per_rank", object.slots_per_rank, 1, kMaxExperts);
  visitor.Number("skew_weight", object.skew_weight, 0, kMaxWeight);
  visitor.Number("cost_weight", object.cost_weight, 0, kMaxWeight);
  visitor.Integer("expert_bytes", object.expert_bytes, 0, kMaxBytes);
  visitor.Integer("store_bytes_per_s", object.store_bytes_per_s, 0, kMaxBytes);
  visitor.Integer("switch_pause_ms", object.switch_pause_ms, 0, 600'000);
  visitor.Integer("max_moves_per_change", object.max_moves_per_change, 0,
                  1'000'000'000);
}

template <typename Visitor, object_of<service> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.Reference("backend_class", object.backend_class, "backend_class",
                    presence::kRequired);
  visitor.References("data_centers", object.data_centers, "data_center");
  visitor.Methods("non_repeatable_methods", object.non_repeatable_methods);
  visitor.Integer("key_retention_h", object.key_retention_h, 1, 24 * 366);
  visitor.Integer("timeout_ms", object.timeout_ms, 1, 24 * 3'600'000);
}

template <typename Visitor, object_of<workspace> Object>
void VisitFields(Visitor& visitor, Object& object) {
  visitor.Reference("parent", object.parent, "workspace", presence::kOptional);
  visitor.KeyDigests("key_digests", object.key_digests);
  visitor.References("models", object.models, "model");
  visitor.References("services", object.services, "service");
  visitor.Integer("max_concurrency", object.max_concurrency, 1, 1'000'000);
  visitor.Integer("tokens_per_minute", object.tokens_per_minute, 0, kMaxTokens);
  visitor.Number("share", object.share, 0.001, kMaxWeight);
  visitor.Integer("highest_priority", object.highest_priority, 0, 9);
  visitor.Integer("max_undated_keys", object.max_undated_keys, 0,
                  1'000'000'000);
}

/** Calls `function(kind, objects)` for each kind, in alphabetical order. */
template <typename Set, typename Function>
void VisitKinds(Set& set, Function&& function) {
  using namespace std::string_view_literals;
  function("backend_class"sv, set.backend_classes);
  function("data_center"sv, set.data_centers);
  function("model"sv, set.models);
  function("model_group"sv, set.model_groups);
  function("region"sv, set.regions);
  function("service"sv, set.services);
  function("workspace"sv, set.workspaces);
}

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_FIELDS_H_
