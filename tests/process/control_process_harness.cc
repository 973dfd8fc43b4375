#include "tests/process/control_process_harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "tests/process/free_addresses.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {

namespace {

constexpr const char* kKey = "a cluster key for tests";
constexpr std::size_t kReplicas = 3;

std::string ProgramPath() {
  const char* folder = getenv("WR_BIN_DIR");
  return (folder == nullptr ? std::string("build") : std::string(folder)) +
         "/wisteriaroute-control";
}

}  // namespace

/** A member with its own link hub and session, as each daemon has. */
struct control_harness::simulated_member {
  base::hybrid_clock clock;
  member_view view;
  wire::member_info info;
  std::unique_ptr<net::link_hub> hub;
  std::unique_ptr<member::control_session> session;
};

control_harness::control_harness()
    : addresses(FreeAddresses(kReplicas)), pids_(kReplicas) {
  std::string pattern = "/tmp/wisteriaroute_control_XXXXXX";
  folder_ = mkdtemp(pattern.data());
  std::ofstream(folder_ + "/key") << kKey << "\n";
  for (std::size_t i = 0; i < kReplicas; ++i) {
    WriteSettings(i);
    Start(i, true);
  }
  hub_ = std::make_unique<net::link_hub>(
      net::link_context{.event_loop = &loop_,
                        .self = {.name = "operator", .role = "wrctl"},
                        .cluster_key = kKey,
                        .clock = &clock_},
      net::hub_callbacks{
          .on_up =
              [this](net::link_id link, net::dial_id dial,
                     const net::peer_identity&) {
                links_[dials_[dial]] = link;
              },
          .on_message = [this](net::link_id,
                               std::string_view body) { HandleMessage(body); },
          .on_down =
              [this](net::link_id link, std::string_view) {
                std::erase_if(links_, [&](const auto& item) {
                  return item.second == link;
                });
              }});
  for (std::size_t i = 0; i < kReplicas; ++i) {
    dials_[hub_->Dial(addresses[i])] = i;
  }
}

control_harness::~control_harness() {
  for (std::size_t i = 0; i < kReplicas; ++i) {
    SignalAndWait(i, SIGKILL);
  }
  std::filesystem::remove_all(folder_);
}

std::string control_harness::Path(std::size_t replica,
                                  const std::string& suffix) const {
  return folder_ + "/control-" + std::to_string(replica) + suffix;
}

void control_harness::WriteSettings(std::size_t replica) {
  std::string controls;
  std::string replicas;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    controls += "\"" + addresses[i] + "\",";
    replicas += "{name = \"control-" + std::to_string(i) + "\", address = \"" +
                addresses[i] + "\"},";
  }
  std::ofstream(Path(replica, ".toml"))
      << "[process]\nname = \"control-" << replica
      << "\"\nregion = \"north\"\ndata_center = \"north-a\"\nlisten = \""
      << addresses[replica] << "\"\ncontrols = [" << controls
      << "]\ncluster_key_file = \"" << folder_ << "/key\"\n"
      << "[control]\ndata_dir = \"" << Path(replica, ".data")
      << "\"\nsnapshot_entries = 200\nreplicas = [" << replicas << "]\n";
}

void control_harness::Bootstrap(std::size_t replica) {
  const std::string line = ProgramPath() + " --settings " +
                           Path(replica, ".toml") + " --bootstrap > /dev/null";
  if (std::system(line.c_str()) != 0) {
    throw std::runtime_error("the data directory can't be made");
  }
}

void control_harness::Start(std::size_t replica, bool bootstrap) {
  const std::string program = ProgramPath();
  const std::string settings = Path(replica, ".toml");
  const std::string log = Path(replica, ".log");
  if (bootstrap) {
    Bootstrap(replica);
  }
  const pid_t pid = fork();
  if (pid == 0) {
    const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
          nullptr);
    _exit(127);
  }
  pids_[replica] = pid;
}

void control_harness::SetDiskFull(std::size_t replica, bool full) {
  rlimit limit{};
  prlimit(pids_[replica], RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  prlimit(pids_[replica], RLIMIT_FSIZE, &limit, nullptr);
}

bool control_harness::IsAlive(std::size_t replica) const {
  return pids_[replica] > 0 && waitpid(pids_[replica], nullptr, WNOHANG) == 0;
}

void control_harness::Signal(std::size_t replica, int signal_number) {
  if (pids_[replica] > 0) {
    kill(pids_[replica], signal_number);
  }
}

int control_harness::SignalAndWait(std::size_t replica, int signal_number) {
  if (pids_[replica] <= 0) {
    return 0;
  }
  kill(pids_[replica], signal_number);
  int status = 0;
  waitpid(pids_[replica], &status, 0);
  pids_[replica] = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void control_harness::WipeDisk(std::size_t replica) {
  std::filesystem::remove_all(Path(replica, ".data"));
}

std::uintmax_t control_harness::DataBytes(std::size_t replica) const {
  std::uintmax_t bytes = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(Path(replica, ".data"))) {
    bytes += entry.file_size();
  }
  return bytes;
}

bool control_harness::RunUntil(const std::function<bool()>& condition,
                               base::time_us limit_us) {
  return testing::RunUntil(loop_, condition, limit_us);
}

void control_harness::RunFor(base::time_us duration_us) {
  RunUntil([] { return false; }, duration_us);
}

bool control_harness::Eventually(const std::function<bool()>& condition,
                                 base::time_us limit_us) {
  const base::time_us limit = base::MonotonicUs() + limit_us;
  while (!condition()) {
    if (base::MonotonicUs() > limit) {
      return false;
    }
    RunFor(10'000);
  }
  return true;
}

std::uint64_t control_harness::Send(std::size_t replica,
                                    wire::admin_call call) {
  const std::uint64_t correlation = ++last_correlation_;
  const auto link = links_.find(replica);
  if (link != links_.end()) {
    hub_->Send(link->second,
               wire::Encode(wire::admin_request{correlation, std::move(call)}));
  }
  return correlation;
}

void control_harness::HandleMessage(std::string_view body) {
  const wire::control_message message = wire::DecodeControl(body);
  if (const auto* reply = std::get_if<wire::admin_reply>(&message)) {
    replies[reply->correlation] = *reply;
  }
}

std::optional<wire::admin_reply> control_harness::Call(
    const wire::admin_call& call,
    base::time_us limit_us) {
  const base::time_us limit = base::MonotonicUs() + limit_us;
  while (base::MonotonicUs() < limit) {
    std::vector<std::uint64_t> correlations;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      correlations.push_back(Send(i, call));
    }
    std::optional<wire::admin_reply> decided;
    RunUntil(
        [&] {
          for (const std::uint64_t correlation : correlations) {
            const auto reply = replies.find(correlation);
            if (reply != replies.end() &&
                (reply->second.result == wire::admin_result::kOk ||
                 reply->second.result == wire::admin_result::kRefused)) {
              decided = reply->second;
            }
          }
          return decided.has_value();
        },
        200'000);
    if (decided) {
      return decided;
    }
  }
  return std::nullopt;
}

nlohmann::json control_harness::CallJson(const wire::admin_call& call) {
  const auto reply = Call(call);
  if (!reply || reply->result != wire::admin_result::kOk) {
    return {};
  }
  return nlohmann::json::parse(reply->json);
}

std::optional<std::size_t> control_harness::Leader(base::time_us limit_us) {
  const auto reply = Call(wire::get_status{}, limit_us);
  if (!reply) {
    return std::nullopt;
  }
  const std::string name =
      nlohmann::json::parse(reply->json)["leader"].get<std::string>();
  return static_cast<std::size_t>(name.back() - '0');
}

wire::publish_request control_harness::MakeRegionRequest(
    std::uint64_t base,
    const std::string& name) {
  return {.base_revision = base,
          .operation_id = "publish " + name,
          .changed = {{.kind = "region", .name = name, .body = "{}"}}};
}

control_harness::member_view& control_harness::AddMember(
    const std::string& name,
    wire::member_role role) {
  members_.push_back(std::make_unique<simulated_member>());
  simulated_member& added = *members_.back();
  added.info = {.name = name, .role = role, .incarnation = members_.size()};
  added.hub = std::make_unique<net::link_hub>(
      net::link_context{.event_loop = &loop_,
                        .self = {.name = name, .role = "entry"},
                        .cluster_key = kKey,
                        .clock = &added.clock},
      net::hub_callbacks{
          .on_up =
              [&added](net::link_id link, net::dial_id dial,
                       const net::peer_identity& peer) {
                added.session->HandleUp(link, dial, peer);
              },
          .on_message =
              [&added](net::link_id link, std::string_view body) {
                added.session->HandleMessage(link, body);
              },
          .on_down =
              [&added](net::link_id link, std::string_view) {
                added.session->HandleDown(link);
              }});
  added.session = std::make_unique<member::control_session>(
      loop_, *added.hub, addresses, added.info,
      member::control_session_callbacks{
          .on_message =
              [&added](const wire::control_message& message) {
                added.view.messages.push_back(message);
                if (const auto* update =
                        std::get_if<wire::config_update>(&message)) {
                  added.view.revision = update->revision;
                  added.session->Update(added.info, update->revision, true);
                }
              },
          .on_lease =
              [&added](base::time_us until_us, const wire::fencing_number&) {
                added.view.lease_until_us = until_us;
              }});
  added.view.session = added.session.get();
  return added.view;
}

}  // namespace wisteriaroute::testing
