#include "tests/process/agent_process_harness.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include "tests/run_until.h"

namespace wisteriaroute::testing {

namespace {

constexpr const char* kKey = "a cluster key for tests";

std::string ProgramPath(const std::string& program) {
  const char* folder = getenv("WR_BIN_DIR");
  return (folder == nullptr ? std::string("build") : std::string(folder)) +
         "/" + program;
}

}  // namespace

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments) {
  const std::string path = ProgramPath(program);
  int ends[2];
  if (pipe(ends) != 0) {
    throw std::runtime_error("pipe failed");
  }
  pid_ = fork();
  if (pid_ == 0) {
    dup2(ends[1], STDOUT_FILENO);
    close(ends[0]);
    close(ends[1]);
    std::vector<char*> raw = {const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments) {
      raw.push_back(const_cast<char*>(argument.c_str()));
    }
    raw.push_back(nullptr);
    execv(path.c_str(), raw.data());
    _exit(127);
  }
  close(ends[1]);
  output_ = ends[0];
  // Skips log lines, which the program writes to the same output.
  const std::string prefix = "listening ";
  std::string line;
  char c = 0;
  while (read(output_, &c, 1) == 1) {
    if (c != '\n') {
      line += c;
    } else if (line.starts_with(prefix)) {
      address_ = line.substr(prefix.size());
      return;
    } else {
      line.clear();
    }
  }
  throw std::runtime_error(program + " didn't start: " + line);
}

child_process::~child_process() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(output_);
}

void child_process::Signal(int signal_number) const {
  kill(pid_, signal_number);
}

int child_process::Wait() {
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

agent_harness::agent_harness(const std::string& backend_address,
                             const std::string& agent_lines)
    : backend_(backend_address), http_(loop_) {
  std::string pattern = "/tmp/wisteriaroute_agent_XXXXXX";
  folder_ = mkdtemp(pattern.data());
  hub_ = std::make_unique<net::link_hub>(
      net::link_context{.event_loop = &loop_,
                        .self = {.name = "entry-1", .role = "entry"},
                        .cluster_key = kKey,
                        .clock = &clock_},
      net::hub_callbacks{.on_up =
                             [this](net::link_id link, net::dial_id dial,
                                    const net::peer_identity&) {
                               (dial == 0 ? control_link_ : agent_link_) = link;
                             },
                         .on_message =
                             [this](net::link_id link, std::string_view body) {
                               if (link == agent_link_) {
                                 HandleWork(body);
                               } else {
                                 HandleControl(link, body);
                               }
                             },
                         .on_down = [](net::link_id, std::string_view) {}});
  const std::string control = hub_->Listen("127.0.0.1:0");
  std::ofstream(folder_ + "/key") << kKey << "\n";
  std::ofstream(folder_ + "/agent.toml")
      << "[process]\nname = \"agent-1\"\nregion = \"r\"\n"
      << "data_center = \"d\"\nlisten = \"127.0.0.1:0\"\n"
      << "controls = [\"" << control << "\"]\n"
      << "cluster_key_file = \"" << folder_ << "/key\"\n"
      << "[agent]\nclass = \"c\"\nbackend_url = \"http://" << backend_address
      << "\"\n"
      << agent_lines;
  agent_ = std::make_unique<child_process>(
      "wisteriaroute-agent",
      std::vector<std::string>{"--settings", folder_ + "/agent.toml"});
  dial_ = hub_->Dial(agent_->address());
}

agent_harness::~agent_harness() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

bool agent_harness::RunUntil(const std::function<bool()>& condition,
                             base::time_us limit_us) {
  return testing::RunUntil(loop_, condition, limit_us);
}

void agent_harness::RunFor(base::time_us duration_us) {
  RunUntil([] { return false; }, duration_us);
}

bool agent_harness::WaitUntilReady() {
  return RunUntil([this] { return state_.accepting; });
}

wire::submit agent_harness::MakeSubmit(wire::work_kind kind) {
  wire::submit work{.attempt = {.high = 1, .low = next_attempt_++},
                    .request_id = "request",
                    .kind = kind,
                    .backend_incarnation = state_.backend_incarnation,
                    .window = state_.window,
                    .method = "POST",
                    .target = "/bookings"};
  work.fingerprint = {.high = 7, .low = work.attempt.low};
  return work;
}

void agent_harness::Send(const wire::work_message& message) {
  hub_->Send(agent_link_, wire::Encode(message));
}

void agent_harness::SendControl(const wire::control_message& message) {
  hub_->Send(control_link_, wire::Encode(message));
}

std::string agent_harness::CallBackend(const std::string& method,
                                       const std::string& path,
                                       const std::string& body) {
  auto response = std::make_shared<std::string>();
  auto done = std::make_shared<bool>(false);
  http_.Start(
      {.method = method, .url = "http://" + backend_ + path, .body = body},
      {.on_head = nullptr,
       .on_data = [response](std::string_view data) { *response += data; },
       .on_done = [done](const net::http_client_result&) { *done = true; }});
  RunUntil([done] { return *done; });
  return *response;
}

void agent_harness::HandleControl(net::link_id link, std::string_view body) {
  const wire::control_message message = wire::DecodeControl(body);
  if (const auto* heartbeat = std::get_if<wire::session_heartbeat>(&message)) {
    if (grants_lease) {
      hub_->Send(link, wire::Encode(wire::control_message(wire::session_ack{
                           .sequence = heartbeat->sequence,
                           .fencing = {.term = 1, .index = 10},
                           .lease_ms = 2'500,
                           .revision = 0})));
    }
    return;
  }
  control_received.push_back(message);
}

void agent_harness::HandleWork(std::string_view body) {
  RecordMessage(wire::DecodeWork(body));
}

void agent_harness::RecordMessage(const wire::work_message& message) {
  if (const auto* state = std::get_if<wire::agent_state>(&message)) {
    state_ = *state;
  } else if (const auto* load = std::get_if<wire::load_report>(&message)) {
    loads.push_back(*load);
  } else if (const auto* head = std::get_if<wire::head>(&message)) {
    Attempt(head->attempt).status = head->status;
  } else if (const auto* chunk = std::get_if<wire::chunk>(&message)) {
    received_attempt& into = Attempt(chunk->attempt);
    into.gap = into.gap || chunk->offset != into.end_offset;
    into.end_offset =
        chunk->offset +
        (chunk->token_count > 0 ? chunk->token_count : chunk->data.size());
    into.text += chunk->data;
  } else if (const auto* finish = std::get_if<wire::finish>(&message)) {
    received_attempt& into = Attempt(finish->attempt);
    into.finished = true;
    into.gap = into.gap || finish->end_offset != into.end_offset;
  } else if (const auto* failed = std::get_if<wire::failed>(&message)) {
    Attempt(failed->attempt).failures.push_back(*failed);
  } else if (const auto* refused = std::get_if<wire::refused>(&message)) {
    Attempt(refused->attempt).refusals.push_back(*refused);
  } else if (const auto* status = std::get_if<wire::attempt_status>(&message)) {
    Attempt(status->attempt).phases.push_back(status->phase);
  }
}

}  // namespace wisteriaroute::testing
