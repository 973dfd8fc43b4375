// Measures the agent: attempts and chunks per second of the reducer, memory
// per remembered attempt id and per running attempt, and bytes of load reports
// on one link. With the folder of the programs, it also starts an idle agent
// and measures its resident memory.
//
//   agent_bench [PROGRAM_FOLDER]

#include <malloc.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "libwisteriaroute/agent/agent.h"

namespace wisteriaroute::bench {
namespace {

using namespace agent;

constexpr int kRuns = 5;
constexpr net::link_id kLink = 1;

struct run_statistics {
  double minimum = 0;
  double median = 0;
  double maximum = 0;
};

run_statistics Measure(const std::function<double()>& run) {
  std::vector<double> values;
  for (int i = 0; i < kRuns; ++i) {
    values.push_back(run());
  }
  std::ranges::sort(values);
  return {values.front(), values[kRuns / 2], values.back()};
}

void Print(const char* what, const run_statistics& measured) {
  std::printf("%-44s min %10.0f  median %10.0f  max %10.0f\n", what,
              measured.minimum, measured.median, measured.maximum);
}

double SecondsOf(const std::function<void()>& work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

agent_state ReadyAgent(std::uint32_t slots, base::time_us now_us) {
  agent_state state = StartAgent({.name = "a",
                                  .group = "g",
                                  .engine = true,
                                  .slots = slots,
                                  .max_window_ids = 100'000'000},
                                 1, now_us);
  Step(state, entry_up{kLink}, now_us);
  Step(state, lease_extended{now_us + 1'000'000'000, {1, 1}}, now_us);
  Step(state, health_result{.ok = true}, now_us);
  Step(state, health_result{.ok = true}, now_us);
  return state;
}

wire::submit MakeSubmit(const agent_state& state, std::uint64_t number) {
  return {.attempt = {.high = 1, .low = number},
          .request_id = "0123456789abcdef",
          .kind = wire::work_kind::kCompletion,
          .backend_incarnation = state.incarnation,
          .window = state.window,
          .workspace = "workspace",
          .model = "model",
          .body = R"({"prompt":"a short prompt","max_tokens":64})"};
}

double AttemptsPerSecond() {
  constexpr std::uint64_t kAttempts = 200'000;
  agent_state state = ReadyAgent(64, 1'000'000);
  const double seconds = SecondsOf([&] {
    for (std::uint64_t i = 0; i < kAttempts; ++i) {
      const wire::submit work = MakeSubmit(state, i);
      Step(state, entry_received{kLink, work}, 1'000'000);
      Step(state, call_head{work.attempt, 200, {}}, 1'000'000);
      Step(state, call_data{work.attempt, 1, " token"}, 1'000'000);
      Step(state, call_finished{.attempt = work.attempt}, 1'000'000);
    }
  });
  return kAttempts / seconds;
}

double ChunksPerSecond(std::uint32_t running) {
  constexpr std::uint64_t kChunks = 1'000'000;
  agent_state state = ReadyAgent(running, 1'000'000);
  for (std::uint64_t i = 0; i < running; ++i) {
    Step(state, entry_received{kLink, MakeSubmit(state, i)}, 1'000'000);
  }
  const double seconds = SecondsOf([&] {
    for (std::uint64_t i = 0; i < kChunks; ++i) {
      Step(state, call_data{{1, i % running}, 1, " token"}, 1'000'000);
    }
  });
  return kChunks / seconds;
}

/** Measures attempts of which the agent remembers only the id. */
double BytesPerRememberedId(std::uint64_t count) {
  agent_state state = ReadyAgent(64, 1'000'000);
  const std::size_t before = HeapBytes();
  for (std::uint64_t i = 0; i < count; ++i) {
    Step(state,
         entry_received{kLink,
                        wire::query{{1, i}, state.incarnation, state.window}},
         1'000'000);
  }
  return static_cast<double>(HeapBytes() - before) / static_cast<double>(count);
}

double BytesPerRunning(std::uint32_t count) {
  agent_state state = ReadyAgent(count, 1'000'000);
  const std::size_t before = HeapBytes();
  for (std::uint64_t i = 0; i < count; ++i) {
    Step(state, entry_received{kLink, MakeSubmit(state, i)}, 1'000'000);
  }
  return static_cast<double>(HeapBytes() - before) / count;
}

/**
 * Measures load reports over 60 s while the load changes every 10 ms, that is,
 * in each of the 10 report periods of a second.
 */
double LoadBytesPerSecond() {
  constexpr int kSeconds = 60;
  base::time_us now_us = 1'000'000;
  agent_state state = ReadyAgent(64, now_us);
  std::uint64_t bytes = 0;
  for (std::uint32_t i = 0; i < kSeconds * 100; ++i) {
    now_us += 10'000;
    const load_result changed{.ok = true,
                              .load = {.slots = 64, .kv_used_tokens = i}};
    for (const agent_effect& effect : Step(state, changed, now_us)) {
      if (const auto* send = std::get_if<send_work>(&effect)) {
        bytes += wire::Encode(send->message).size();
      }
    }
  }
  return static_cast<double>(bytes) / kSeconds;
}

/** Starts a child process with its output in a file; returns its pid. */
pid_t StartProcess(const std::vector<std::string>& arguments,
                   const std::string& output) {
  std::fflush(stdout);
  const pid_t child = fork();
  if (child == 0) {
    if (freopen(output.c_str(), "w", stdout) == nullptr ||
        freopen("/dev/null", "w", stderr) == nullptr) {
      _exit(127);
    }
    std::vector<char*> raw;
    for (const std::string& argument : arguments) {
      raw.push_back(const_cast<char*>(argument.c_str()));
    }
    raw.push_back(nullptr);
    execv(raw[0], raw.data());
    _exit(127);
  }
  return child;
}

std::string ListeningAddress(const std::string& output) {
  std::string word;
  std::string address;
  for (int i = 0; i < 100 && address.empty(); ++i) {
    usleep(20'000);
    std::ifstream(output) >> word >> address;
  }
  return address;
}

double ResidentKib(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  double kib = 0;
  while (status >> word) {
    if (word == "VmRSS:") {
      status >> kib;
    }
  }
  return kib;
}

/** Measures an agent with an idle engine 4 s after its start. */
double IdleKib(const std::string& programs) {
  std::string pattern = "/tmp/wisteriaroute_agent_bench_XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  const pid_t engine = StartProcess(
      {programs + "/wisteriaroute-standin", "--mode=engine"}, folder + "/e");
  std::ofstream(folder + "/key") << "a cluster key for measuring\n";
  std::ofstream(folder + "/a.toml")
      << "[process]\nname = \"a\"\nregion = \"r\"\ndata_center = \"d\"\n"
      << "listen = \"127.0.0.1:0\"\ncontrols = [\"127.0.0.1:1\"]\n"
      << "cluster_key_file = \"" << folder << "/key\"\n[agent]\n"
      << "class = \"c\"\ngroup = \"g\"\nbackend_url = \"http://"
      << ListeningAddress(folder + "/e") << "\"\n";
  const pid_t agent = StartProcess(
      {programs + "/wisteriaroute-agent", "--settings", folder + "/a.toml"},
      folder + "/a");
  sleep(4);
  const double kib = ResidentKib(agent);
  for (const pid_t child : {agent, engine}) {
    kill(child, SIGTERM);
    waitpid(child, nullptr, 0);
  }
  std::filesystem::remove_all(folder);
  return kib;
}

void Run(const std::string& programs) {
  Print("attempts per second (reducer, 1 core)", Measure(AttemptsPerSecond));
  for (const std::uint32_t running : {16U, 64U, 256U}) {
    const std::string what =
        "chunks per second, " + std::to_string(running) + " running";
    Print(what.c_str(), Measure([=] { return ChunksPerSecond(running); }));
  }
  for (const std::uint64_t count : {1'000U, 10'000U, 100'000U}) {
    const std::string what =
        "bytes per remembered id, " + std::to_string(count) + " ids";
    Print(what.c_str(), Measure([=] { return BytesPerRememberedId(count); }));
  }
  for (const std::uint32_t count : {16U, 256U, 2'048U}) {
    const std::string what =
        "bytes per running attempt, " + std::to_string(count);
    Print(what.c_str(), Measure([=] { return BytesPerRunning(count); }));
  }
  Print("bytes per second of load reports on a link",
        Measure(LoadBytesPerSecond));
  if (!programs.empty()) {
    Print("resident KiB of an idle agent",
          Measure([&] { return IdleKib(programs); }));
  }
}

}  // namespace
}  // namespace wisteriaroute::bench

int main(int argc, char** argv) {
  wisteriaroute::bench::Run(argc > 1 ? argv[1] : "");
}
