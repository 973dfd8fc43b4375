#include "libwisteriaroute/config/parse.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/config/checks.h"
#include "libwisteriaroute/config/fields.h"
#include "libwisteriaroute/config/object_body.h"
#include "libwisteriaroute/config/object_reader.h"

namespace wisteriaroute::config {

namespace {

// A snapshot of the set is sent in one message of at most 8 MiB
// (net::kMaxMessageBytes); the difference is reserved for encoding overhead.
constexpr std::size_t kMaxSetBytes = 7 * 1024 * 1024;

/** Collects objects in a set, with findings on each. */
class set_reader {
 public:
  /** Parses one object. `table` must outlive the reader. */
  void Add(std::string_view kind,
           std::string_view name,
           const toml::table& table,
           std::string_view file) {
    bool known = false;
    VisitKinds(result_.set, [&](std::string_view candidate, auto& objects) {
      if (candidate == kind) {
        known = true;
        AddTo(objects, kind, name, table, file);
      }
    });
    if (!known) {
      ReportUnknownKind(kind, table.source(), file);
    }
  }

  void ReportUnknownKind(std::string_view kind,
                         const toml::source_region& source,
                         std::string_view file) {
    std::set<std::string, std::less<>> kinds;
    VisitKinds(result_.set, [&](std::string_view candidate, const auto&) {
      kinds.emplace(candidate);
    });
    std::string message = "unknown kind '" + std::string(kind) + "'";
    const std::string nearest = base::NearestWord(kind, kinds);
    if (!nearest.empty()) {
      message += "; did you mean '" + nearest + "'?";
    }
    Report(file, source, std::move(message));
  }

  void Report(std::string_view file,
              const toml::source_region& source,
              std::string message) {
    result_.findings.push_back({.file = std::string(file),
                                .line = source.begin.line,
                                .column = source.begin.column,
                                .message = std::move(message)});
  }

  base::findings& findings() { return result_.findings; }

  /** Validates the set as a whole. Call it once, after all objects. */
  parsed_set Finish(reference_check references) {
    CheckSet(result_.set, sources_, references, result_.findings);
    result_.objects = CanonicalObjects(result_.set);
    std::size_t bytes = 0;
    for (const wire::config_object& object : result_.objects) {
      bytes += object.kind.size() + object.name.size() + object.body.size();
    }
    if (bytes > kMaxSetBytes) {
      result_.findings.push_back(
          {.file = "set",
           .message = "the set has " + std::to_string(bytes) +
                      " bytes; the limit is " + std::to_string(kMaxSetBytes)});
    }
    std::ranges::stable_sort(
        result_.findings, {}, [](const base::finding& found) {
          return std::tie(found.file, found.line, found.column);
        });
    return std::move(result_);
  }

 private:
  template <typename Object>
  void AddTo(object_map<Object>& objects,
             std::string_view kind,
             std::string_view name,
             const toml::table& table,
             std::string_view file) {
    if (!IsName(name)) {
      Report(file, table.source(),
             "'" + std::string(name) +
                 "' is not a name: use lower-case letters, digits and '-', at "
                 "most 63, not starting with '-'");
      return;
    }
    Object object{.name = std::string(name)};
    object_reader reader(table, file, result_.findings);
    VisitFields(reader, object);
    reader.Finish();
    const auto [source, added] = sources_.try_emplace(
        {std::string(kind), std::string(name)},
        object_source{.table = &table, .file = std::string(file)});
    if (!added) {
      const base::finding first =
          FindingAt(*source->second.table, source->second.file, "", 0, "");
      Report(file, table.source(),
             std::string(kind) + " '" + std::string(name) +
                 "' is already declared at " + first.file + ":" +
                 std::to_string(first.line));
      return;
    }
    objects.emplace(name, std::move(object));
  }

  parsed_set result_;
  source_map sources_;
};

/** Adds the objects of one file, which are tables named [KIND.NAME]. */
void AddFile(const toml::table& root,
             std::string_view file,
             set_reader& reader) {
  for (const auto& [kind, node] : root) {
    const toml::table* objects = node.as_table();
    if (objects == nullptr) {
      reader.Report(file, kind.source(),
                    "'" + std::string(kind.str()) +
                        "' is outside a table; objects are declared as "
                        "[KIND.NAME]");
      continue;
    }
    if (objects->empty()) {
      reader.Add(kind.str(), "", *objects, file);
    }
    for (const auto& [name, object] : *objects) {
      if (const toml::table* table = object.as_table()) {
        reader.Add(kind.str(), name.str(), *table, file);
      } else {
        reader.Report(file, name.source(),
                      "'" + std::string(name.str()) +
                          "' is not a table; objects are declared as [" +
                          std::string(kind.str()) + ".NAME]");
      }
    }
  }
}

}  // namespace

parsed_set ParseFiles(std::span<const source_file> files) {
  set_reader reader;
  // The reader holds pointers to the tables until the set is checked. A deque
  // doesn't move its elements.
  std::deque<toml::table> tables;
  // A file that can't be parsed may define any name, so references can't be
  // checked: they would be reported although they may be correct.
  reference_check references = reference_check::kAll;
  for (const source_file& file : files) {
    std::optional<toml::table> root =
        base::ParseToml(file.text, file.name, reader.findings());
    if (!root) {
      references = reference_check::kSkipUnknown;
      continue;
    }
    AddFile(tables.emplace_back(std::move(*root)), file.name, reader);
  }
  return reader.Finish(references);
}

parsed_set ParseObjects(std::span<const wire::config_object> objects) {
  set_reader reader;
  std::deque<toml::table> tables;
  reference_check references = reference_check::kAll;
  for (const wire::config_object& object : objects) {
    const std::string place = object.kind + "/" + object.name;
    std::optional<toml::table> table =
        ParseBody(object.body, place, reader.findings());
    if (!table) {
      references = reference_check::kSkipUnknown;
      continue;
    }
    reader.Add(object.kind, object.name, tables.emplace_back(std::move(*table)),
               place);
  }
  return reader.Finish(references);
}

}  // namespace wisteriaroute::config
