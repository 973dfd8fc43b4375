#include "libwisteriaroute/config/checks.h"

#include <array>
#include <set>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/config/fields.h"
#include "libwisteriaroute/config/object_reader.h"

namespace wisteriaroute::config {

namespace {

using name_set = std::set<std::string, std::less<>>;

// First path segments that the entry itself serves.
constexpr std::array<std::string_view, 4> kReservedServices = {
    "v1", "healthz", "readyz", "metrics"};

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

/** Adds findings with the source position of an object's field. */
class reporter {
 public:
  reporter(const source_map& sources, base::findings& out)
      : sources_(sources), out_(out) {}

  void Report(std::string_view kind,
              std::string_view name,
              std::string_view key,
              std::size_t index,
              std::string message) {
    const auto found = sources_.find({std::string(kind), std::string(name)});
    if (found != sources_.end()) {
      out_.push_back(FindingAt(*found->second.table, found->second.file, key,
                               index, std::move(message)));
    }
  }

 private:
  const source_map& sources_;
  base::findings& out_;
};

/** Reports references to undefined names; a visitor for VisitFields. */
class reference_checker {
 public:
  reference_checker(const object_set& set, reporter& out) : out_(out) {
    VisitKinds(set, [&](std::string_view kind, const auto& objects) {
      for (const auto& [name, object] : objects) {
        names_[std::string(kind)].insert(name);
      }
    });
  }

  void StartObject(std::string_view kind, std::string_view name) {
    kind_ = kind;
    name_ = name;
  }

  void Integer(std::string_view, std::int64_t, std::int64_t, std::int64_t) {}
  void Number(std::string_view, double, double, double) {}
  void Boolean(std::string_view, bool) {}
  void Kind(std::string_view, backend_kind) {}
  void RequiredString(std::string_view, const std::string&) {}
  void Names(std::string_view, const std::vector<std::string>&) {}
  void Methods(std::string_view, const std::vector<std::string>&) {}
  void KeyDigests(std::string_view, const std::vector<std::string>&) {}

  void Reference(std::string_view key,
                 const std::string& value,
                 std::string_view kind,
                 presence) {
    if (!value.empty()) {
      Check(key, 0, value, kind);
    }
  }

  void References(std::string_view key,
                  const std::vector<std::string>& values,
                  std::string_view kind) {
    for (std::size_t i = 0; i < values.size(); ++i) {
      Check(key, i, values[i], kind);
    }
  }

 private:
  void Check(std::string_view key,
             std::size_t index,
             const std::string& value,
             std::string_view kind) {
    const name_set& names = names_[std::string(kind)];
    if (names.contains(value)) {
      return;
    }
    std::string message = Quoted(key) + ": no " + std::string(kind) +
                          " is named " + Quoted(value);
    const std::string nearest = base::NearestWord(value, names);
    if (!nearest.empty()) {
      message += "; did you mean " + Quoted(nearest) + "?";
    }
    out_.Report(kind_, name_, key, index, std::move(message));
  }

  reporter& out_;
  std::map<std::string, name_set, std::less<>> names_;
  std::string_view kind_;
  std::string_view name_;
};

void CheckReferences(const object_set& set, reporter& out) {
  reference_checker checker(set, out);
  VisitKinds(set, [&](std::string_view kind, const auto& objects) {
    for (const auto& [name, object] : objects) {
      checker.StartObject(kind, name);
      VisitFields(checker, object);
    }
  });
}

void CheckBackendClass(const object_set& set,
                       std::string_view kind,
                       std::string_view name,
                       std::string_view class_name,
                       backend_kind wanted,
                       reporter& out) {
  const auto found = set.backend_classes.find(class_name);
  if (found != set.backend_classes.end() && found->second.kind != wanted) {
    out.Report(
        kind, name, "backend_class", 0,
        "backend class " + Quoted(class_name) + " must be of kind " +
            (wanted == backend_kind::kPlain ? "'plain'" : "'model_engine'"));
  }
}

void CheckGroups(const object_set& set, reporter& out) {
  for (const auto& [name, group] : set.model_groups) {
    CheckBackendClass(set, "model_group", name, group.backend_class,
                      backend_kind::kModelEngine, out);
    const std::int64_t slots = group.ranks * group.slots_per_rank;
    if (slots < group.experts) {
      out.Report("model_group", name, "slots_per_rank", 0,
                 "ranks * slots_per_rank is " + std::to_string(slots) +
                     ", too few for " + std::to_string(group.experts) +
                     " experts");
    }
  }
}

void CheckServices(const object_set& set, reporter& out) {
  for (const auto& [name, service] : set.services) {
    CheckBackendClass(set, "service", name, service.backend_class,
                      backend_kind::kPlain, out);
    for (const std::string_view reserved : kReservedServices) {
      if (name == reserved) {
        out.Report("service", name, "", 0,
                   "a service can't be named " + Quoted(name) +
                       ": the entry itself serves this path");
      }
    }
  }
}

void CheckKeyDigests(const object_set& set, reporter& out) {
  std::map<std::string_view, std::string_view> users;
  for (const auto& [name, workspace] : set.workspaces) {
    for (std::size_t i = 0; i < workspace.key_digests.size(); ++i) {
      const auto [found, added] = users.emplace(workspace.key_digests[i], name);
      if (!added && found->second != name) {
        out.Report(
            "workspace", name, "key_digests", i,
            "this key is also a key of workspace " + Quoted(found->second));
      }
    }
  }
}

/** Reports each cycle once, at the first workspace that is reached in it. */
void CheckParents(const object_set& set, reporter& out) {
  std::set<std::string_view> finished;
  for (const auto& [start, unused] : set.workspaces) {
    std::vector<std::string_view> path;
    std::set<std::string_view> on_path;
    auto current = set.workspaces.find(start);
    while (current != set.workspaces.end() &&
           !finished.contains(current->first) &&
           on_path.insert(current->first).second) {
      path.push_back(current->first);
      current = set.workspaces.find(current->second.parent);
    }
    if (current != set.workspaces.end() && on_path.contains(current->first)) {
      std::string cycle = current->first;
      auto member = current;
      do {
        member = set.workspaces.find(member->second.parent);
        cycle += " -> " + member->first;
      } while (member != current);
      out.Report("workspace", current->first, "parent", 0,
                 "'parent' forms a cycle: " + cycle);
    }
    finished.insert(path.begin(), path.end());
  }
}

}  // namespace

void CheckSet(const object_set& set,
              const source_map& sources,
              reference_check references,
              base::findings& out) {
  reporter to(sources, out);
  if (references == reference_check::kAll) {
    CheckReferences(set, to);
  }
  CheckGroups(set, to);
  CheckServices(set, to);
  CheckKeyDigests(set, to);
  CheckParents(set, to);
}

}  // namespace wisteriaroute::config
