#include "tests/process/gateway_process_harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "tests/process/free_addresses.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {

namespace {

constexpr const char* kCallerKey = "counter-key";
constexpr std::size_t kControls = 3;
constexpr std::size_t kGateways = 2;
// Enough for all processes together.
constexpr std::size_t kMaxAddresses = 24;
const std::vector<std::string> server_names = {"desk-a", "desk-b", "desk-c"};

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':'));
}

}  // namespace

gateway_system::gateway_system(gateway_system_options options)
    : options_(std::move(options)), http_(loop_) {
  const char* bin = std::getenv("WR_BIN_DIR");
  bin_ = std::filesystem::absolute(bin == nullptr ? "build" : bin).string();
  std::string pattern = "/tmp/wisteriaroute_gateway_XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't make a temporary directory");
  }
  folder_ = pattern;
  std::ofstream(folder_ + "/key") << "a cluster key for tests\n";
  free_addresses_ = FreeAddresses(kMaxAddresses);
  // A replica redirects callers to the leader's IP with its own port number, so
  // the replicas on this host use one port number and different IPs.
  const std::string port = PortOf(TakeAddress());
  const std::string http_port = PortOf(TakeAddress());
  for (std::size_t i = 0; i < kControls; ++i) {
    const std::string name = "control-" + std::to_string(i);
    const std::string ip = LoopbackIp(static_cast<unsigned>(i));
    addresses_[name] = ip + port;
    addresses_[name + "/http"] = ip + http_port;
    addresses_[name + "/metrics"] = TakeAddress();
  }
  for (std::size_t i = 0; i < kControls; ++i) {
    AddControl(i);
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    AddGateway(i);
  }
  for (const std::string& name : server_names) {
    AddServer(name);
  }
  for (const auto& [name, unused] : processes_) {
    StartProcess(name);
  }
}

gateway_system::~gateway_system() {
  for (const auto& [name, unused] : processes_) {
    SignalAndWait(name, SIGKILL);
  }
  // Set this variable to keep the logs of a failed test.
  if (std::getenv("WR_KEEP_DIRECTORY") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

std::string gateway_system::TakeAddress() {
  std::string address = free_addresses_.back();
  free_addresses_.pop_back();
  return address;
}

std::string gateway_system::ProcessTable(const std::string& name,
                                         const std::string& address) const {
  std::string controls;
  for (std::size_t i = 0; i < kControls; ++i) {
    controls += "\"" + addresses_.at("control-" + std::to_string(i)) + "\", ";
  }
  return "[process]\nname = \"" + name +
         "\"\nregion = \"north\"\ndata_center = \"north-a\"\nlisten = \"" +
         address + "\"\nlisten_metrics = \"" +
         addresses_.at(name + "/metrics") + "\"\ncontrols = [" + controls +
         "]\ncluster_key_file = \"" + folder_ + "/key\"\n";
}

void gateway_system::AddControl(std::size_t index) {
  const std::string name = "control-" + std::to_string(index);
  std::string replicas;
  for (std::size_t i = 0; i < kControls; ++i) {
    const std::string other = "control-" + std::to_string(i);
    replicas +=
        "{name = \"" + other + "\", address = \"" + addresses_[other] + "\"}, ";
  }
  WriteSettings(name, ProcessTable(name, addresses_[name]) +
                          "[control]\ndata_dir = \"" + folder_ + "/" + name +
                          ".data\"\nbootstrap = true\nlisten_http = \"" +
                          addresses_[name + "/http"] + "\"\nreplicas = [" +
                          replicas + "]\n");
  processes_[name].command = {bin_ + "/wisteriaroute-control", "--settings",
                              SettingsFile(name)};
}

void gateway_system::AddGateway(std::size_t index) {
  const std::string name = "gateway-" + std::to_string(index);
  addresses_[name] = TakeAddress();
  addresses_[name + "/http"] = TakeAddress();
  addresses_[name + "/ready"] = TakeAddress();
  addresses_[name + "/metrics"] = TakeAddress();
  WriteSettings(name, ProcessTable(name, addresses_[name]) +
                          "[gateway]\nlisten_http = \"" +
                          addresses_[name + "/http"] + "\"\nlisten_ready = \"" +
                          addresses_[name + "/ready"] +
                          "\"\nretry_floor = 50\n" + options_.gateway_lines);
  processes_[name].command = {bin_ + "/wisteriaroute-gateway", "--settings",
                              SettingsFile(name)};
}

void gateway_system::AddServer(const std::string& name) {
  std::string controls;
  for (std::size_t i = 0; i < kControls; ++i) {
    controls += (i == 0 ? "" : ",") +
                addresses_["control-" + std::to_string(i) + "/http"];
  }
  addresses_[name] = TakeAddress();
  processes_[name].command = {
      bin_ + "/wisteriaroute-standin",
      "--mode=reporting",
      "--id=" + name,
      "--service=desk",
      name == "desk-c" ? "--data_center=north-b" : "--data_center=north-a",
      "--slots=" + std::to_string(options_.server_slots),
      std::string("--crash_part=") + kCrashPart,
      "--controls=" + controls,
      "--listen=" + addresses_[name]};
}

std::string gateway_system::TrafficToml(std::uint64_t version) {
  return "version = " + std::to_string(version) + R"(
[[service]]
name = "desk"

[[route]]
name = "lookup"
host = "shop.example"
path_prefix = "/lookup/"
repeats = "repeatable"
timeout_ms = 3000
max_attempts = 3
targets = [{service = "desk"}]

[[route]]
name = "pay"
host = "shop.example"
path_prefix = "/pay/"
timeout_ms = 3000
max_attempts = 3
targets = [{service = "desk"}]

[[route]]
name = "draft"
host = "shop.example"
path_prefix = "/draft/"
repeats = "repeatable"
streams = true
resumable = true
timeout_ms = 8000
max_attempts = 3
targets = [{service = "desk"}]

[[workspace]]
name = "counter"
key_digests = [")" +
         base::Sha256Hex(kCallerKey) + "\"]\n";
}

command_result gateway_system::Publish(const std::string& text) {
  const std::string file = folder_ + "/traffic.toml";
  std::ofstream(file) << text;
  return Wrctl("traffic publish " + file + " --settings " + folder_ +
               "/wrctl.toml");
}

command_result gateway_system::Wrctl(const std::string& arguments) const {
  return Execute(bin_ + "/wrctl " + arguments);
}

command_result gateway_system::Operate(const std::string& arguments) const {
  return Wrctl(arguments + " --settings " + folder_ + "/wrctl.toml");
}

void gateway_system::PublishAndWait() {
  std::ofstream(folder_ + "/wrctl.toml")
      << "[wrctl]\ncontrols = [\"" << addresses_["control-0"] << "\", \""
      << addresses_["control-1"] << "\", \"" << addresses_["control-2"]
      << "\"]\ncluster_key_file = \"" << folder_ << "/key\"\n";
  const command_result published =
      Publish(TrafficToml(1) + options_.traffic_lines);
  if (published.status != 0) {
    throw std::runtime_error("nothing was published:\n" + published.output);
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    const base::time_us limit = base::MonotonicUs() + 15'000'000;
    while (!IsServing(i)) {
      if (base::MonotonicUs() > limit) {
        throw std::runtime_error("gateway " + std::to_string(i) +
                                 " doesn't serve");
      }
      RunFor(20'000);
    }
  }
}

bool gateway_system::IsServing(std::size_t gateway) {
  const std::string url =
      "http://" + addresses_["gateway-" + std::to_string(gateway) + "/metrics"];
  const std::string text = Get(url + "/metrics")->body;
  return Get(ReadyUrl(gateway))->status == 200 &&
         text.find("wisteriaroute_traffic_version 1\n") != text.npos &&
         text.find("wisteriaroute_servers_known 3\n") != text.npos;
}

std::shared_ptr<call> gateway_system::Start(std::size_t gateway,
                                            const std::string& path,
                                            const std::string& request_id,
                                            const net::http_headers& headers,
                                            const std::string& body) {
  auto result = std::make_shared<call>();
  result->started_us = base::MonotonicUs();
  net::http_headers all = {
      {"Host", "shop.example"},
      {"X-Request-Id", request_id},
      {"Authorization", std::string("Bearer ") + kCallerKey}};
  all.insert(all.end(), headers.begin(), headers.end());
  transfers_[result.get()] = http_.Start(
      {.method = "POST",
       .url = "http://" +
              addresses_["gateway-" + std::to_string(gateway) + "/http"] + path,
       .headers = all,
       .body = body,
       .timeout_ms = 20'000,
       .reuse_connection = options_.keep_connections},
      {.on_head = [result](unsigned status,
                           const auto&) { result->status = status; },
       .on_data = [result](std::string_view data) { result->body += data; },
       .on_done =
           [result](const net::http_client_result& end) {
             result->done = true;
             result->ok = end.ok;
             result->reused = end.reused;
             result->never_sent = end.never_sent;
             result->ended_us = base::MonotonicUs();
           }});
  return result;
}

std::shared_ptr<call> gateway_system::StartAndWait(
    std::size_t gateway,
    const std::string& path,
    const std::string& request_id,
    const net::http_headers& headers,
    const std::string& body) {
  const auto asked = Start(gateway, path, request_id, headers, body);
  RunUntil([&] { return asked->done; });
  return asked;
}

std::shared_ptr<call> gateway_system::Get(const std::string& url) {
  auto result = std::make_shared<call>();
  http_.Start(
      {.url = url, .timeout_ms = 2'000},
      {.on_head = [result](unsigned status,
                           const auto&) { result->status = status; },
       .on_data = [result](std::string_view data) { result->body += data; },
       .on_done =
           [result](const net::http_client_result& end) {
             result->done = true;
             result->ok = end.ok;
           }});
  RunUntil([&] { return result->done; });
  return result;
}

std::shared_ptr<call> gateway_system::StartControlCall(
    std::size_t replica,
    const std::string& method,
    const std::string& path,
    const std::string& body) {
  auto result = std::make_shared<call>();
  http_.Start(
      {.method = method,
       .url = "http://" +
              addresses_.at("control-" + std::to_string(replica) + "/http") +
              path,
       .body = body,
       .timeout_ms = 5'000},
      {.on_head = [result](unsigned status,
                           const auto&) { result->status = status; },
       .on_data = [result](std::string_view data) { result->body += data; },
       .on_done =
           [result](const net::http_client_result& end) {
             result->done = true;
             result->ok = end.ok;
           }});
  return result;
}

std::shared_ptr<call> gateway_system::CallControl(std::size_t replica,
                                                  const std::string& method,
                                                  const std::string& path,
                                                  const std::string& body) {
  const auto asked = StartControlCall(replica, method, path, body);
  RunUntil([&] { return asked->done; });
  return asked;
}

void gateway_system::Disconnect(const call& target) {
  http_.Cancel(transfers_.at(&target));
}

void gateway_system::SetFaults(const std::string& server,
                               const nlohmann::json& faults) {
  bool done = false;
  http_.Start(
      {.method = "POST",
       .url = ServerUrl(server) + "/standin/faults",
       .body = faults.dump(),
       .timeout_ms = 2'000},
      {.on_done = [&](const net::http_client_result&) { done = true; }});
  RunUntil([&] { return done; });
}

std::vector<nlohmann::json> gateway_system::ServerStates() {
  std::vector<nlohmann::json> states;
  for (const std::string& name : server_names) {
    auto state = nlohmann::json::parse(
        Get(ServerUrl(name) + "/standin/runs")->body, nullptr, false);
    if (state.is_object()) {
      states.push_back(std::move(state));
    }
  }
  return states;
}

bool gateway_system::ServersAreIdle() {
  return std::ranges::all_of(ServerStates(), [](const nlohmann::json& state) {
    return state["running"] == 0;
  });
}

std::uint64_t gateway_system::CountRuns(const std::string& request_id) {
  std::uint64_t runs = 0;
  for (const nlohmann::json& state : ServerStates()) {
    runs += state["runs"].value(request_id, std::uint64_t{0});
  }
  return runs;
}

std::uint64_t gateway_system::CountAbandoned() {
  const std::vector<nlohmann::json> states = ServerStates();
  if (states.size() != server_names.size()) {
    throw std::runtime_error("a server doesn't answer");
  }
  std::uint64_t count = 0;
  for (const nlohmann::json& state : states) {
    count += state["abandoned"].get<std::uint64_t>();
  }
  return count;
}

std::string gateway_system::ServerUrl(const std::string& name) const {
  return "http://" + addresses_.at(name);
}

std::string gateway_system::ReadyUrl(std::size_t gateway) const {
  return "http://" +
         addresses_.at("gateway-" + std::to_string(gateway) + "/ready") +
         "/ready";
}

std::string gateway_system::MetricsUrl(const std::string& process) const {
  return "http://" + addresses_.at(process + "/metrics") + "/metrics";
}

std::string gateway_system::LogFile(const std::string& process) const {
  return folder_ + "/" + process + ".log";
}

std::string gateway_system::ReadLog(const std::string& process) const {
  return base::ReadFile(LogFile(process));
}

std::string gateway_system::SettingsFile(const std::string& process) const {
  return folder_ + "/" + process + ".toml";
}

std::string gateway_system::ReadSettings(const std::string& process) const {
  return base::ReadFile(SettingsFile(process));
}

void gateway_system::WriteSettings(const std::string& process,
                                   const std::string& text) {
  const std::string file = SettingsFile(process);
  std::ofstream(file + ".new") << text;
  std::filesystem::rename(file + ".new", file);
}

std::string gateway_system::HttpAddress(std::size_t gateway) const {
  return addresses_.at("gateway-" + std::to_string(gateway) + "/http");
}

std::vector<std::string> gateway_system::ProductProcesses() const {
  std::vector<std::string> names;
  for (const auto& [name, unused] : processes_) {
    if (std::ranges::find(server_names, name) == server_names.end()) {
      names.push_back(name);
    }
  }
  return names;
}

int gateway_system::Pid(const std::string& process) {
  return IsRunning(process) ? processes_.at(process).pid : 0;
}

void gateway_system::StartProcess(const std::string& name) {
  process& target = processes_.at(name);
  const std::string log = LogFile(name);
  std::vector<char*> arguments;
  for (std::string& word : target.command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  target.pid = fork();
  if (target.pid == 0) {
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(output);
}

void gateway_system::Signal(const std::string& process, int signal_number) {
  if (processes_.at(process).pid > 0) {
    kill(processes_.at(process).pid, signal_number);
  }
}

bool gateway_system::IsRunning(const std::string& process) {
  auto& target = processes_.at(process);
  if (target.pid > 0 && waitpid(target.pid, nullptr, WNOHANG) == target.pid) {
    target.pid = 0;
  }
  return target.pid > 0;
}

int gateway_system::SignalAndWait(const std::string& process,
                                  int signal_number) {
  auto& target = processes_.at(process);
  if (target.pid <= 0) {
    return 0;
  }
  kill(target.pid, signal_number);
  int status = 0;
  waitpid(target.pid, &status, 0);
  target.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool gateway_system::RunUntil(const std::function<bool()>& condition,
                              base::time_us limit_us) {
  return testing::RunUntil(loop_, condition, limit_us);
}

void gateway_system::RunFor(base::time_us duration_us) {
  RunUntil([] { return false; }, duration_us);
}

}  // namespace wisteriaroute::testing
