#include <charconv>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/config/changes.h"
#include "wrctl/admin_client.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/local_set.h"
#include "wrctl/report.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr double kDefaultTimeoutS = 10;

/** Reads the objects of the newest revision from control. */
config::revision_objects ReadPublished(admin_client& client,
                                       base::time_us deadline_us) {
  const nlohmann::json answer =
      ParseAnswer(client.Call(wire::get_config{}, deadline_us).json);
  config::revision_objects published;
  try {
    published.revision = answer.at("revision").get<std::uint64_t>();
    for (const nlohmann::json& object : answer.at("objects")) {
      const nlohmann::json& body = object.at("body");
      published.objects.push_back(
          {.kind = object.at("kind").get<std::string>(),
           .name = object.at("name").get<std::string>(),
           .body = body.is_string() ? body.get<std::string>() : body.dump()});
    }
  } catch (const nlohmann::json::exception& error) {
    throw command_failure(
        kUnreachable,
        std::string("malformed answer of control to get_config: ") +
            error.what());
  }
  return published;
}

nlohmann::json ParseBody(const wire::config_object* object) {
  if (object == nullptr) {
    return nlohmann::json::object();
  }
  nlohmann::json body = nlohmann::json::parse(object->body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

/** Fields that are new or differ in `to`, as `key: old -> new` lines. */
std::string FieldChanges(const nlohmann::json& from, const nlohmann::json& to) {
  std::string text;
  for (auto item = to.begin(); item != to.end(); ++item) {
    const auto old = from.find(item.key());
    if (old == from.end()) {
      text += "    " + item.key() + ": " + item->dump() + "\n";
    } else if (*old != *item) {
      text += "    " + item.key() + ": " + old->dump() + " -> " + item->dump() +
              "\n";
    }
  }
  return text;
}

void PrintChangesAsText(const config::revision_objects& published,
                        const config::set_changes& changes) {
  std::map<std::pair<std::string, std::string>, const wire::config_object*> old;
  for (const wire::config_object& object : published.objects) {
    old[{object.kind, object.name}] = &object;
  }
  std::cout << "compared with revision " << published.revision << ": "
            << changes.changed.size() << " changed, " << changes.removed.size()
            << " removed\n";
  for (const wire::config_object& object : changes.changed) {
    const auto found = old.find({object.kind, object.name});
    const bool known = found != old.end();
    std::cout << (known ? "~ " : "+ ") << object.kind << "/" << object.name
              << "\n"
              << FieldChanges(ParseBody(known ? found->second : nullptr),
                              ParseBody(&object));
  }
  for (const wire::object_name& name : changes.removed) {
    std::cout << "- " << name.kind << "/" << name.name << "\n";
  }
}

void PrintChangesAsJson(const config::revision_objects& published,
                        const config::set_changes& changes) {
  nlohmann::json report = {{"revision", published.revision},
                           {"changed", nlohmann::json::array()},
                           {"removed", nlohmann::json::array()}};
  for (const wire::config_object& object : changes.changed) {
    report["changed"].push_back({{"kind", object.kind},
                                 {"name", object.name},
                                 {"body", ParseBody(&object)}});
  }
  for (const wire::object_name& name : changes.removed) {
    report["removed"].push_back({{"kind", name.kind}, {"name", name.name}});
  }
  std::cout << report.dump(2) << "\n";
}

/** Parses --base. Returns nullopt for `current`. */
std::optional<std::uint64_t> ParseBase() {
  if (FLAGS_base == "current") {
    return std::nullopt;
  }
  std::uint64_t revision = 0;
  const char* end = FLAGS_base.data() + FLAGS_base.size();
  const auto [stop, error] = std::from_chars(FLAGS_base.data(), end, revision);
  if (FLAGS_base.empty() || error != std::errc() || stop != end) {
    throw command_failure(kUsage,
                          "--base must be a revision number or 'current'");
  }
  return revision;
}

void PrintAccepted(const wire::publish_request& request,
                   const wire::admin_reply& reply) {
  nlohmann::json answer = ParseAnswer(reply.json.empty() ? "{}" : reply.json);
  if (FLAGS_output == "json") {
    answer["base_revision"] = request.base_revision;
    answer["operation_id"] = request.operation_id;
    std::cout << answer.dump(2) << "\n";
    return;
  }
  std::cout << "accepted";
  if (answer.contains("revision")) {
    std::cout << " as revision " << answer["revision"].dump();
  }
  if (answer.value("repeated", false)) {
    std::cout << " (answer to the first request with this operation id)";
  }
  std::cout << "\n";
}

}  // namespace

int RunDiff(const argument_list& arguments) {
  const config::parsed_set parsed = ReadCleanSet(arguments[0]);
  admin_client client(ReadClientSettings());
  const config::revision_objects published =
      ReadPublished(client, DeadlineUs(kDefaultTimeoutS));
  const config::set_changes changes =
      config::Diff(published.objects, parsed.objects);
  if (FLAGS_output == "json") {
    PrintChangesAsJson(published, changes);
  } else {
    PrintChangesAsText(published, changes);
  }
  return kOk;
}

int RunPublish(const argument_list& arguments) {
  const std::optional<std::uint64_t> base = ParseBase();
  const config::parsed_set parsed = ReadCleanSet(arguments[0]);
  admin_client client(ReadClientSettings());
  const base::time_us deadline_us = DeadlineUs(kDefaultTimeoutS);
  wire::publish_request request{
      .base_revision =
          base ? *base : ReadPublished(client, deadline_us).revision,
      .operation_id = FLAGS_operation_id,
      .changed = parsed.objects,
      .full = true};
  if (request.operation_id.empty()) {
    request.operation_id = base::HexEncode(base::RandomBytes(16));
  }
  std::cerr << "base " << request.base_revision << ", operation id "
            << request.operation_id << "\n";
  try {
    PrintAccepted(request, client.Call(request, deadline_us));
  } catch (const command_failure& failure) {
    if (failure.status() != kUnreachable) {
      throw;
    }
    throw command_failure(
        kUnreachable,
        std::string(failure.what()) +
            "\nit is unknown whether the change was accepted; to find out and "
            "to retry it safely:\n  wrctl publish " +
            arguments[0] + " --base " + std::to_string(request.base_revision) +
            " --operation-id " + request.operation_id);
  }
  return kOk;
}

}  // namespace wisteriaroute::wrctl
