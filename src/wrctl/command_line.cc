#include "wrctl/command_line.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

#include "libwisteriaroute/base/toml_reader.h"
#include "wrctl/exit_status.h"

DEFINE_string(controls,
              "",
              "IP:port of control replicas, separated by commas; else from "
              "--settings or WRCTL_CONTROLS");
DEFINE_string(cluster_key_file,
              "",
              "file with the cluster key; else from --settings or "
              "WRCTL_KEY_FILE");
DEFINE_string(settings,
              "",
              "TOML file with [wrctl] or [process]: controls, "
              "cluster_key_file");
DEFINE_string(output, "text", "text or json");
DEFINE_double(timeout_s,
              0,
              "time limit in seconds, up to 86400; 0: 10, or 60 with --wait");
DEFINE_string(base,
              "",
              "revision that the change is based on, or 'current' to read it "
              "first");
DEFINE_string(operation_id,
              "",
              "identifies the change for safe retries; generated if not set");
DEFINE_bool(wait, false, "wait until the revision is in force everywhere");
DEFINE_string(request, "", "only events of this request id");
DEFINE_string(group, "", "only events of this model group");
DEFINE_string(server, "", "only events of this backend server (its agent)");
DEFINE_uint64(revision, 0, "only events of this revision");
DEFINE_uint32(limit, 1'000, "at most this many events of each process");

namespace wisteriaroute::wrctl {

namespace {

constexpr std::array<std::string_view, 3> kConnectionFlags = {
    "controls", "cluster_key_file", "settings"};

[[noreturn]] void FailUsage(const std::string& message) {
  throw command_failure(kUsage, message + " (see wrctl --help)");
}

std::string WithUnderscores(std::string_view flag) {
  std::string name(flag);
  std::ranges::replace(name, '-', '_');
  return name;
}

std::string WithDashes(std::string_view flag) {
  std::string name(flag);
  std::ranges::replace(name, '_', '-');
  return name;
}

bool IsBoolean(const std::string& flag) {
  gflags::CommandLineFlagInfo info;
  return gflags::GetCommandLineFlagInfo(flag.c_str(), &info) &&
         info.type == "bool";
}

std::vector<std::string_view> FlagsOf(const command& selected) {
  std::vector<std::string_view> flags = selected.flags;
  if (selected.connects) {
    flags.insert(flags.end(), kConnectionFlags.begin(), kConnectionFlags.end());
    flags.push_back("timeout_s");
  }
  return flags;
}

struct given_flag {
  std::string name;
  std::string value;
};

/** Separates flags from words; `--flag value` and `--flag=value` both work. */
void SplitFlags(std::span<const std::string_view> words,
                parsed_command_line& line,
                std::vector<given_flag>& flags) {
  for (std::size_t i = 0; i < words.size(); ++i) {
    std::string_view word = words[i];
    if (word == "--help" || word == "-h" || word == "-help") {
      line.help = true;
    } else if (!word.starts_with("--")) {
      line.arguments.emplace_back(word);
    } else if (word == "--") {
      line.arguments.insert(line.arguments.end(), words.begin() + i + 1,
                            words.end());
      return;
    } else {
      word.remove_prefix(2);
      const std::size_t equals = word.find('=');
      given_flag flag{.name = WithUnderscores(word.substr(0, equals))};
      if (equals != word.npos) {
        flag.value = word.substr(equals + 1);
      } else if (IsBoolean(flag.name)) {
        flag.value = "true";
      } else if (i + 1 < words.size()) {
        flag.value = words[++i];
      } else {
        FailUsage("--" + WithDashes(flag.name) + " needs a value");
      }
      flags.push_back(std::move(flag));
    }
  }
}

/** Finds the command and removes its one or two words from the arguments. */
const command* SelectCommand(argument_list& arguments,
                             std::span<const command> commands) {
  for (const std::size_t count : {std::size_t{2}, std::size_t{1}}) {
    if (arguments.size() < count) {
      continue;
    }
    const std::string name =
        count == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    const auto found = std::ranges::find(commands, name, &command::name);
    if (found != commands.end()) {
      arguments.erase(arguments.begin(),
                      arguments.begin() + static_cast<std::ptrdiff_t>(count));
      return &*found;
    }
  }
  return nullptr;
}

[[noreturn]] void FailUnknownCommand(const std::string& word,
                                     std::span<const command> commands) {
  std::set<std::string, std::less<>> names;
  for (const command& candidate : commands) {
    names.emplace(candidate.name);
  }
  std::string parts;
  for (const command& candidate : commands) {
    if (candidate.name.starts_with(word + " ")) {
      parts +=
          (parts.empty() ? "'" : " or '") + std::string(candidate.name) + "'";
    }
  }
  if (!parts.empty()) {
    FailUsage("'" + word + "' is incomplete: use " + parts);
  }
  std::string message = "unknown command '" + word + "'";
  const std::string nearest = base::NearestWord(word, names);
  if (!nearest.empty()) {
    message += "; did you mean '" + nearest + "'?";
  }
  FailUsage(message);
}

void SetFlags(const command& selected, const std::vector<given_flag>& flags) {
  std::set<std::string, std::less<>> known = {"output"};
  for (const std::string_view flag : FlagsOf(selected)) {
    known.emplace(flag);
  }
  for (const given_flag& flag : flags) {
    if (!known.contains(flag.name)) {
      std::string message = "wrctl " + std::string(selected.name) +
                            " has no flag --" + WithDashes(flag.name);
      const std::string nearest = base::NearestWord(flag.name, known);
      if (!nearest.empty()) {
        message += "; did you mean --" + WithDashes(nearest) + "?";
      }
      FailUsage(message);
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value.c_str())
            .empty()) {
      FailUsage("--" + WithDashes(flag.name) + " has an invalid value '" +
                flag.value + "'");
    }
  }
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    FailUsage("--output must be text or json, not '" + FLAGS_output + "'");
  }
  if (!(FLAGS_timeout_s >= 0 && FLAGS_timeout_s <= 86'400)) {
    FailUsage("--timeout-s must be between 0 and 86400 seconds");
  }
}

std::size_t CountWords(std::string_view text) {
  std::istringstream stream{std::string(text)};
  return static_cast<std::size_t>(
      std::distance(std::istream_iterator<std::string>(stream), {}));
}

void AppendFlagHelp(std::string& text, std::string_view name) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info)) {
    return;
  }
  std::string column = "  --" + WithDashes(name);
  if (info.type != "bool") {
    column += info.type == "string" ? "=TEXT" : "=NUMBER";
  }
  column.resize(std::max<std::size_t>(column.size() + 2, 28), ' ');
  text += column + info.description + "\n";
}

}  // namespace

parsed_command_line ParseCommandLine(std::span<const std::string_view> words,
                                     std::span<const command> commands) {
  parsed_command_line line;
  std::vector<given_flag> flags;
  SplitFlags(words, line, flags);
  if (!line.arguments.empty() && line.arguments.front() == "help") {
    line.help = true;
    line.arguments.erase(line.arguments.begin());
  }
  if (line.arguments.empty()) {
    if (!line.help) {
      FailUsage("no command");
    }
    return line;
  }
  argument_list rest = line.arguments;
  line.selected = SelectCommand(rest, commands);
  if (line.selected == nullptr) {
    if (line.help) {
      return line;
    }
    FailUnknownCommand(line.arguments.front(), commands);
  }
  line.arguments = std::move(rest);
  if (line.help) {
    return line;
  }
  SetFlags(*line.selected, flags);
  const bool variadic = line.selected->arguments.ends_with("...");
  const std::size_t expected = CountWords(line.selected->arguments);
  if (variadic ? line.arguments.size() < expected
               : line.arguments.size() != expected) {
    FailUsage("usage: wrctl " + std::string(line.selected->name) +
              (line.selected->arguments.empty() ? "" : " ") +
              std::string(line.selected->arguments));
  }
  return line;
}

std::string HelpText(const command* selected,
                     std::span<const command> commands) {
  if (selected == nullptr) {
    std::string text =
        "wrctl COMMAND [FLAGS]\n\nOperates a wisteriaroute system.\n\n";
    for (const command& each : commands) {
      std::string column =
          "  " + std::string(each.name) + " " + std::string(each.arguments);
      column.resize(std::max<std::size_t>(column.size() + 2, 34), ' ');
      text += column + std::string(each.summary) + "\n";
    }
    return text +
           "\nwrctl COMMAND --help explains a command and its flags.\n"
           "Exit status: 0 success; 1 findings, a revision not in force in "
           "time, or an answer\nor log line that is missing; 2 usage error or "
           "unreadable file; 3 refused by\ncontrol; 4 no valid answer from "
           "control.\n";
  }
  std::string text = "wrctl " + std::string(selected->name);
  if (!selected->arguments.empty()) {
    text += " " + std::string(selected->arguments);
  }
  text += " [FLAGS]\n\n" + std::string(selected->summary) + ".\n";
  if (!selected->details.empty()) {
    text += "\n" + std::string(selected->details) + "\n";
  }
  text += "\nFlags:\n";
  for (const std::string_view flag : FlagsOf(*selected)) {
    AppendFlagHelp(text, flag);
  }
  AppendFlagHelp(text, "output");
  return text;
}

}  // namespace wisteriaroute::wrctl
