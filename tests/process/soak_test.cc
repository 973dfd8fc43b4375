// A soak of the real programs: callers on kept connections, and faults in
// series that overlap. Checks only what callers, servers and the operator see.
//
// WR_SOAK_SEEDS=FIRST:COUNT chooses the seeds; odd ones have planned work only
// (SIGTERM, SIGHUP, changes of the configuration).

#include <doctest/doctest.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/process/gateway_process_harness.h"

namespace wisteriaroute::testing {
namespace {

constexpr base::time_us kMs = 1'000;
constexpr base::time_us kRoundUs = 100 * kMs;
constexpr base::time_us kSoakUs = 14'000 * kMs;
// A signal before exec() would meet the handlers of the test itself.
constexpr base::time_us kNewUs = 300 * kMs;
constexpr int kEvents = 20;
// As the platform's balancer, which asks each second and counts two misses.
constexpr base::time_us kBalancerUs = 2'000 * kMs;

struct soak_call {
  std::string id;
  std::string path;
  std::string body;
  std::shared_ptr<call> answer;
};

class soak {
 public:
  explicit soak(std::uint64_t seed)
      : random_(seed),
        planned_only_(seed % 2 == 1),
        system_({.server_slots = 12,
                 .traffic_lines = {},
                 .keep_connections = true}) {}

  void Run() {
    system_.PublishAndWait();
    const base::time_us end = base::MonotonicUs() + kSoakUs;
    base::time_us next_fault = base::MonotonicUs() + 500 * kMs;
    while (base::MonotonicUs() < end) {
      StartCalls();
      system_.RunFor(kRoundUs);
      RestartEnded();
      if (base::MonotonicUs() >= next_fault) {
        Disturb();
        next_fault = base::MonotonicUs() +
                     static_cast<base::time_us>(200 + Pick(900)) * kMs;
      }
    }
    Calm();
    CheckServed();
    CheckCalls();
    CheckConfiguration();
  }

 private:
  std::uint64_t Pick(std::uint64_t count) { return random_() % count; }

  /** Whether the balancer sends callers to the gateway. */
  bool InRotation(std::size_t gateway) {
    const auto told = stopping_since_.find(Gateway(gateway));
    return told == stopping_since_.end() ||
           base::MonotonicUs() - told->second < kBalancerUs;
  }

  void StartCalls() {
    for (int i = 0; i < 6; ++i) {
      const std::size_t gateway = Pick(2);
      if (!InRotation(gateway)) {
        continue;
      }
      static const char* const kPaths[] = {"/lookup/1", "/pay/1", "/draft/1"};
      soak_call one{.id = "soak-" + std::to_string(calls_.size()),
                    .path = kPaths[Pick(3)],
                    .body = "body " + std::to_string(Pick(1'000))};
      net::http_headers headers;
      if (one.path == "/draft/1") {
        headers = {{"X-Events", std::to_string(kEvents)}, {"X-Gap-Ms", "20"}};
      }
      one.answer = system_.Start(gateway, one.path, one.id, headers, one.body);
      calls_.push_back(std::move(one));
    }
  }

  static std::string Gateway(std::size_t i) {
    return "gateway-" + std::to_string(i);
  }
  std::string PickProcess() {
    return Pick(2) == 0 ? Gateway(Pick(2))
                        : "control-" + std::to_string(Pick(3));
  }
  /** Whether one more process of its kind may be lost. */
  bool MayLose(const std::string& name) {
    const std::string kind = name.substr(0, name.find('-'));
    return std::none_of(lost_.begin(), lost_.end(), [&](const auto& other) {
      return other.starts_with(kind);
    });
  }

  void Disturb() {
    const std::string name = PickProcess();
    const std::uint64_t kind = Pick(planned_only_ ? 3 : 6);
    const auto started = started_us_.find(name);
    const bool is_new = started != started_us_.end() &&
                        base::MonotonicUs() - started->second < kNewUs;
    if (is_new || (kind == 0 && lost_.contains(name))) {
      return;
    }
    if (kind == 0) {
      Log("SIGHUP", name);
      system_.Signal(name, SIGHUP);
    } else if (kind == 1) {
      Publish();
    } else if (!MayLose(name)) {
      return;
    } else if (kind == 2) {
      Log("SIGTERM", name);
      lost_.insert(name);
      stopping_since_[name] = base::MonotonicUs();
      system_.Signal(name, SIGTERM);
    } else if (kind == 3) {
      Log("SIGKILL", name);
      lost_.insert(name);
      stopping_since_[name] = base::MonotonicUs() - kBalancerUs;
      system_.SignalAndWait(name, SIGKILL);
    } else if (kind == 4) {
      Log("SIGSTOP", name);
      lost_.insert(name);
      paused_until_[name] =
          base::MonotonicUs() + static_cast<base::time_us>(Pick(3'000)) * kMs;
      system_.Signal(name, SIGSTOP);
    } else {
      static const char* const kFaults[] = {"lose_answer", "fail",
                                            "cut_streams", "refuse"};
      const std::string server = std::string("desk-") + "abc"[Pick(3)];
      const std::string fault = kFaults[Pick(4)];
      Log(fault, server);
      system_.SetFaults(server, {{fault, 2}, {"cut_after", 5}});
    }
  }

  void RestartEnded() {
    for (const std::string& name : system_.ProductProcesses()) {
      if (!lost_.contains(name) && !system_.IsRunning(name)) {
        Log("ended by itself:", name);
        INFO(history_);
        FAIL_CHECK(name << " ended by itself");
        lost_.insert(name);
      }
    }
    for (auto at = paused_until_.begin(); at != paused_until_.end();) {
      if (base::MonotonicUs() < at->second) {
        ++at;
        continue;
      }
      system_.Signal(at->first, SIGCONT);
      lost_.erase(at->first);
      at = paused_until_.erase(at);
    }
    for (auto at = lost_.begin(); at != lost_.end();) {
      if (paused_until_.contains(*at) || system_.IsRunning(*at)) {
        ++at;
        continue;
      }
      Log("start", *at);
      system_.StartProcess(*at);
      started_us_[*at] = base::MonotonicUs();
      stopping_since_.erase(*at);
      at = lost_.erase(at);
    }
  }

  void Publish() {
    const std::string text = gateway_system::TrafficToml(++version_);
    Log("publish", std::to_string(version_));
    for (std::size_t replica = 0; replica < 3; ++replica) {
      published_[version_].push_back(
          system_.StartControlCall(replica, "PUT", "/v1/traffic", text));
    }
  }

  void Log(const std::string& what, const std::string& name) {
    history_ += "  " + std::to_string(base::MonotonicUs() / kMs) + " " + what +
                " " + name + "\n";
  }

  /** Ends all faults, and waits until each call has ended. */
  void Calm() {
    for (const auto& [name, until] : paused_until_) {
      system_.Signal(name, SIGCONT);
      lost_.erase(name);
    }
    paused_until_.clear();
    for (const char* server : {"desk-a", "desk-b", "desk-c"}) {
      system_.SetFaults(
          server,
          {{"lose_answer", 0}, {"fail", 0}, {"cut_streams", 0}, {"refuse", 0}});
    }
    CHECK(system_.RunUntil(
        [&] {
          RestartEnded();
          return std::all_of(
              calls_.begin(), calls_.end(),
              [](const soak_call& one) { return one.answer->done; });
        },
        25'000 * kMs));
    CHECK(system_.RunUntil(
        [&] {
          RestartEnded();
          return lost_.empty();
        },
        15'000 * kMs));
  }

  void CheckServed() {
    INFO(history_);
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
      bool served = false;
      for (int i = 0; i < 60 && !served; ++i) {
        const auto answer = system_.StartAndWait(
            gateway, "/lookup/1",
            "after-" + std::to_string(gateway) + "-" + std::to_string(i), {},
            "x");
        served = answer->status == 200 && answer->body == "echo x";
        system_.RunFor(250 * kMs);
      }
      CHECK(served);
    }
  }

  void CheckCalls() {
    INFO(history_);
    std::map<unsigned, int> by_status;
    int unanswered = 0;
    for (const soak_call& one : calls_) {
      const call& answer = *one.answer;
      INFO(one.id << " " << one.path << " status " << answer.status << " ok "
                  << answer.ok << " reused " << answer.reused);
      const std::uint64_t runs = system_.CountRuns(one.id);
      ++by_status[answer.ok ? answer.status : 0];
      if (answer.ok && answer.status == 200) {
        CHECK(answer.body == Expected(one));
      }
      CHECK((answer.status == 0 || answer.status == 200 ||
             answer.status == 429 || answer.status >= 500));
      if (one.path != "/pay/1") {
        continue;
      }
      CHECK(runs <= 1);
      if (answer.ok && (answer.status == 503 || answer.status == 429)) {
        CHECK(runs == 0);
      }
      if (planned_only_ && !answer.ok && !answer.never_sent) {
        // The request may have crossed the close of its idle connection.
        CHECK(answer.reused);
        CHECK(runs == 0);
        ++unanswered;
      }
    }
    std::cout << "soak: " << calls_.size() << " calls, unanswered "
              << unanswered;
    for (const auto& [status, count] : by_status) {
      std::cout << ", " << status << ": " << count;
    }
    std::cout << "\n";
    CHECK(by_status[200] > static_cast<int>(calls_.size()) / 4);
  }

  static std::string Expected(const soak_call& one) {
    if (one.path != "/draft/1") {
      return "echo " + one.body;
    }
    std::string events;
    for (int i = 1; i <= kEvents; ++i) {
      const std::string number = std::to_string(i);
      events += "id: " + number + "\ndata: piece " + number + "\n\n";
    }
    return events;
  }

  /** An acknowledged configuration is in force, or a newer one. */
  void CheckConfiguration() {
    INFO(history_);
    std::uint64_t acknowledged = 1;
    for (const auto& [version, answers] : published_) {
      for (const auto& answer : answers) {
        if (answer->ok && answer->status == 200) {
          acknowledged = version;
        }
      }
    }
    std::uint64_t read = 0;
    for (int i = 0; i < 60 && read < acknowledged; ++i) {
      const auto answer = system_.CallControl(Pick(3), "GET", "/v1/traffic");
      if (answer->ok && answer->status == 200) {
        std::sscanf(answer->body.c_str(), "version = %lu", &read);
        CHECK(read >= acknowledged);
      }
      system_.RunFor(100 * kMs);
    }
    CHECK(read >= acknowledged);
  }

  std::mt19937_64 random_;
  bool planned_only_;
  gateway_system system_;
  std::vector<soak_call> calls_;
  std::uint64_t version_ = 1;
  std::map<std::uint64_t, std::vector<std::shared_ptr<call>>> published_;
  /** Processes that are stopped, stopping or paused. */
  std::set<std::string> lost_;
  std::map<std::string, base::time_us> stopping_since_;
  std::map<std::string, base::time_us> paused_until_;
  std::map<std::string, base::time_us> started_us_;
  std::string history_ = "\n";
};

TEST_CASE("callers, servers and operator keep their promises under faults") {
  std::uint64_t first = 1;
  std::uint64_t count = 4;
  if (const char* given = std::getenv("WR_SOAK_SEEDS")) {
    REQUIRE(std::sscanf(given, "%lu:%lu", &first, &count) == 2);
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    std::cout << "seed " << seed << "\n";
    soak(seed).Run();
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
