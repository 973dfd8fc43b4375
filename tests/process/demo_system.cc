#include "tests/process/demo_system.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "libwisteriaroute/base/toml_reader.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {

namespace {

std::vector<std::string> CommandLine(int pid) {
  const std::string text =
      base::ReadFile("/proc/" + std::to_string(pid) + "/cmdline");
  std::vector<std::string> words;
  std::size_t first = 0;
  while (first < text.size()) {
    const std::size_t end = text.find('\0', first);
    words.push_back(text.substr(first, end - first));
    first = end + 1;
  }
  return words;
}

// A zombie keeps its entry in /proc until it is reaped, so this checks the
// state of the process as well.
bool IsDead(int pid) {
  try {
    const std::string stat =
        base::ReadFile("/proc/" + std::to_string(pid) + "/stat");
    const std::size_t state = stat.rfind(") ");
    return state == std::string::npos || stat[state + 2] == 'Z';
  } catch (const std::exception&) {
    return true;
  }
}

nlohmann::json ErrorOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  return json.is_object() && json.contains("error") ? json["error"]
                                                    : nlohmann::json();
}

}  // namespace

command_result Execute(const std::string& line) {
  command_result result;
  FILE* pipe = popen((line + " 2>&1").c_str(), "r");
  if (pipe == nullptr) {
    throw std::runtime_error("can't run " + line);
  }
  std::array<char, 4'096> buffer{};
  while (const std::size_t count =
             fread(buffer.data(), 1, buffer.size(), pipe)) {
    result.output.append(buffer.data(), count);
  }
  const int status = pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

std::string call::Outcome() const {
  return ErrorOf(body).value("outcome", "");
}

std::string call::ErrorCode() const {
  return ErrorOf(body).value("code", "");
}

std::string call::StreamText() const {
  std::string text;
  std::size_t first = 0;
  while ((first = body.find("data: {", first)) != std::string::npos) {
    const std::size_t end = body.find('\n', first);
    const auto event =
        nlohmann::json::parse(body.substr(first + 6, end - first - 6));
    if (event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
    first = end;
  }
  return text;
}

demo_system::demo_system() : http_(loop_) {
  const char* bin = std::getenv("WR_BIN_DIR");
  bin_ = std::filesystem::absolute(bin == nullptr ? "build" : bin).string();
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/wr-demo-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't make a temporary directory");
  }
  directory_ = pattern;
  const command_result started = RunDemoScript("up " + directory_);
  if (started.status != 0) {
    throw std::runtime_error("the demo didn't start:\n" + started.output);
  }
  endpoints_ =
      nlohmann::json::parse(base::ReadFile(directory_ + "/endpoints.json"));
  key_ = endpoints_["keys"]["residences-north"];
  for (const auto& entry : endpoints_["processes"]) {
    const int pid = entry["pid"];
    processes_[entry["name"]] = {.pid = pid, .command = CommandLine(pid)};
  }
}

demo_system::~demo_system() {
  for (auto& [name, target] : processes_) {
    if (target.is_child) {
      kill(target.pid, SIGKILL);
      waitpid(target.pid, nullptr, 0);
    } else if (!IsDead(target.pid)) {
      kill(target.pid, SIGCONT);
    }
  }
  RunDemoScript("down " + directory_);
  // Set this variable to keep the logs of a failed test.
  if (std::getenv("WR_KEEP_DIRECTORY") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

command_result demo_system::RunDemoScript(const std::string& arguments) const {
  return Execute("WR_BUILD=" + bin_ + " " + bin_ +
                 "/../scripts/demo --no-build " + arguments);
}

command_result demo_system::Wrctl(const std::string& arguments) const {
  return Execute(bin_ + "/wrctl " + arguments + " --settings " + directory_ +
                 "/wrctl.toml");
}

nlohmann::json demo_system::WrctlJson(const std::string& arguments) const {
  return nlohmann::json::parse(Wrctl(arguments + " --output json").output);
}

std::string demo_system::ExamplePath(const std::string& name) const {
  return bin_ + "/../examples/" + name;
}

std::string demo_system::EntryUrl(std::size_t index) const {
  return endpoints_["entries"][index];
}

std::string demo_system::StandinUrl(const std::string& name) const {
  for (const auto& standin : endpoints_["standins"]) {
    if (standin["name"] == name) {
      return standin["url"];
    }
  }
  throw std::out_of_range("no stand-in " + name);
}

std::shared_ptr<call> demo_system::Start(const std::string& method,
                                         const std::string& url,
                                         const std::string& body,
                                         const net::http_headers& headers) {
  auto result = std::make_shared<call>();
  result->started_us = base::MonotonicUs();
  net::http_headers all = headers;
  all.emplace_back("Authorization", "Bearer " + key_);
  http_.Start(
      {.method = method,
       .url = url,
       .headers = all,
       .body = body,
       .timeout_ms = 60'000},
      {.on_head = [result](unsigned status,
                           const auto&) { result->status = status; },
       .on_data = [result](std::string_view data) { result->body += data; },
       .on_done =
           [result](const net::http_client_result& end) {
             result->done = true;
             result->ok = end.ok;
             result->ended_us = base::MonotonicUs();
           }});
  return result;
}

std::shared_ptr<call> demo_system::StartOrder(
    std::size_t entry,
    const std::string& idempotency_key,
    const std::string& body) {
  return Start("POST", EntryUrl(entry) + "/orders/bookings", body,
               {{"Idempotency-Key", idempotency_key}});
}

std::shared_ptr<call> demo_system::StartStream(std::size_t entry,
                                               const std::string& prompt,
                                               int max_tokens) {
  const nlohmann::json body = {
      {"model", endpoints_["model"]},
      {"stream", true},
      {"max_tokens", max_tokens},
      {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  return Start("POST", EntryUrl(entry) + "/v1/chat/completions", body.dump());
}

std::shared_ptr<call> demo_system::Get(const std::string& url) {
  auto result = Start("GET", url);
  RunUntil([&] { return result->done; });
  return result;
}

void demo_system::SetFaults(const std::string& standin,
                            const nlohmann::json& faults) {
  auto result = Start("POST", StandinUrl(standin) + "/faults", faults.dump());
  RunUntil([&] { return result->done; });
}

std::size_t demo_system::CountBookingsWithKey(
    const std::string& idempotency_key) {
  std::size_t count = 0;
  for (const auto& standin : endpoints_["standins"]) {
    if (standin["mode"] != "plain") {
      continue;
    }
    const std::string url = standin["url"];
    const auto list = Get(url + "/bookings");
    const auto json = nlohmann::json::parse(list->body, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    for (const auto& booking :
         json.value("bookings", nlohmann::json::array())) {
      count += booking.value("key", "") == idempotency_key ? 1 : 0;
    }
  }
  return count;
}

std::size_t demo_system::CountBookingsAt(const std::string& standin) {
  const auto list = Get(StandinUrl(standin) + "/bookings");
  return nlohmann::json::parse(list->body).at("count");
}

std::vector<std::string> demo_system::ControlAddresses() const {
  return endpoints_["controls"];
}

std::string demo_system::AgentAddress(const std::string& agent) const {
  for (const auto& each : endpoints_["agents"]) {
    if (each["name"] == agent) {
      return each["address"];
    }
  }
  throw std::out_of_range("no agent " + agent);
}

std::string demo_system::SettingsPath(const std::string& name) const {
  return directory_ + "/settings/" + name + ".toml";
}

void demo_system::AddSetting(const std::string& name,
                             const std::string& key,
                             const std::string& value) {
  std::string text = base::ReadFile(SettingsPath(name));
  const std::string header = "[process]\n";
  text.insert(text.find(header) + header.size(), key + " = " + value + "\n");
  std::ofstream(SettingsPath(name)) << text;
}

void demo_system::ReplaceSetting(const std::string& name,
                                 const std::string& key,
                                 const std::string& value) {
  std::string text = base::ReadFile(SettingsPath(name));
  const std::size_t first = text.find("\n" + key + " = ") + 1;
  const std::size_t end = text.find('\n', first);
  text.replace(first, end - first, key + " = " + value);
  std::ofstream(SettingsPath(name)) << text;
}

bool demo_system::RunUntil(const std::function<bool()>& condition,
                           base::time_us limit_us) {
  return testing::RunUntil(loop_, condition, limit_us);
}

void demo_system::RunFor(base::time_us duration_us) {
  RunUntil([] { return false; }, duration_us);
}

std::vector<std::string> demo_system::ProcessNames(
    const std::string& prefix) const {
  std::vector<std::string> names;
  for (const auto& [name, target] : processes_) {
    if (name.starts_with(prefix)) {
      names.push_back(name);
    }
  }
  return names;
}

std::string demo_system::Leader() const {
  const auto status = nlohmann::json::parse(
      Wrctl("status --output json").output, nullptr, false);
  return status.is_object() ? status.value("leader", "") : "";
}

bool demo_system::IsRunning(const std::string& name) {
  return !HasExited(processes_.at(name));
}

int demo_system::Pid(const std::string& name) const {
  return processes_.at(name).pid;
}

void demo_system::Signal(const std::string& name, int signal_number) {
  kill(processes_.at(name).pid, signal_number);
}

bool demo_system::HasExited(process& target) const {
  return target.is_child ? waitpid(target.pid, nullptr, WNOHANG) != 0
                         : IsDead(target.pid);
}

void demo_system::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  RunUntil([&] { return HasExited(processes_.at(name)); });
  processes_.at(name).is_child = false;
}

void demo_system::Terminate(const std::string& name) {
  Signal(name, SIGTERM);
  RunUntil([&] { return HasExited(processes_.at(name)); }, 70'000'000);
  processes_.at(name).is_child = false;
}

void demo_system::Restart(const std::string& name) {
  process& target = processes_.at(name);
  std::vector<std::string> command = target.command;
  const std::string log = directory_ + "/log/" + name + ".log";
  // exec closes the pipe, which ends the read below. Before that the child
  // still has this program's signal handlers, which would handle signals that
  // tests send to the daemon.
  int started[2];
  if (pipe2(started, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe failed");
  }
  target.pid = fork();
  target.is_child = true;
  if (target.pid == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::vector<char*> raw;
    for (std::string& word : command) {
      raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    execv(raw[0], raw.data());
    _exit(127);
  }
  close(started[1]);
  char unused = 0;
  (void)!read(started[0], &unused, 1);
  close(started[0]);
}

}  // namespace wisteriaroute::testing
