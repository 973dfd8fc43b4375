// Runs the program wrctl against control replicas that the test simulates.

#include <doctest/doctest.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "tests/process/demo_system.h"

namespace wisteriaroute {
namespace {

constexpr char kKey[] = "a cluster key for tests";

using testing::command_result;

command_result Execute(const std::string& arguments) {
  const char* bin = std::getenv("WR_BIN_DIR");
  return testing::Execute(std::string(bin == nullptr ? "build" : bin) +
                          "/wrctl " + arguments);
}

/** A temporary directory; the destructor removes it. */
class temporary_directory {
 public:
  temporary_directory() {
    std::string pattern =
        std::filesystem::temp_directory_path().string() + "/wrctl-XXXXXX";
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path_ = pattern;
  }
  ~temporary_directory() { std::filesystem::remove_all(path_); }
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
    return (path_ / name).string();
  }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

using answer_function =
    std::function<std::optional<wire::control_message>(wire::admin_request)>;

/** A simulated control replica; a function returns the reply to a request. */
class simulated_control {
 public:
  simulated_control(net::loop& event_loop, answer_function answer)
      : answer_(std::move(answer)),
        hub_({.event_loop = &event_loop,
              .self = {.name = "control", .role = "control"},
              .cluster_key = kKey,
              .clock = &clock_},
             {.on_up =
                  [](net::link_id, net::dial_id, const net::peer_identity&) {},
              .on_message = [this](
                                net::link_id link,
                                std::string_view body) { Receive(link, body); },
              .on_down = [](net::link_id, std::string_view) {}}),
        address_(hub_.Listen("127.0.0.1:0")) {}

  const std::string& address() const { return address_; }
  std::vector<wire::admin_call> received;

 private:
  void Receive(net::link_id link, std::string_view body) {
    const auto request =
        std::get<wire::admin_request>(wire::DecodeControl(body));
    received.push_back(request.call);
    if (const auto answer = answer_(request)) {
      hub_.Send(link, wire::Encode(*answer));
    }
  }

  answer_function answer_;
  base::hybrid_clock clock_;
  net::link_hub hub_;
  std::string address_;
};

/** Runs wrctl in a thread while the event loop serves its requests. */
command_result ExecuteWhileServing(net::loop& event_loop,
                                   const std::string& arguments) {
  command_result result;
  std::atomic<bool> done = false;
  std::thread runner([&] {
    result = Execute(arguments);
    done = true;
  });
  net::timer poll(event_loop.ev(), [&] {
    if (done) {
      event_loop.Stop();
    }
  });
  poll.Start(5'000, 5'000);
  event_loop.Run();
  runner.join();
  return result;
}

wire::control_message Ok(const wire::admin_request& request,
                         const std::string& json) {
  return wire::admin_reply{.correlation = request.correlation,
                           .result = wire::admin_result::kOk,
                           .json = json};
}

TEST_CASE("wrctl has an exit status for each kind of failure") {
  temporary_directory directory;
  const std::string key = directory.Write("key", kKey);
  directory.Write("set.toml", "[workspace.a]\nparent = \"b\"\n");

  SUBCASE("check reports findings with file, line and column") {
    const command_result result = Execute("check " + directory.path());
    CHECK(result.status == 1);
    CHECK(result.output.find("set.toml:2:10: 'parent': no workspace") !=
          std::string::npos);
  }
  SUBCASE("publish sends nothing if there are findings") {
    CHECK(Execute("publish " + directory.path() +
                  " --base 0 --controls 127.0.0.1:1 --cluster-key-file " + key)
              .status == 1);
  }
  SUBCASE("usage errors exit with 2") {
    CHECK(Execute("").status == 2);
    CHECK(Execute("chek x").status == 2);
    CHECK(Execute("check").status == 2);
    CHECK(Execute("check /nonexistent-directory").status == 2);
    CHECK(Execute("status --no-such-flag=1").status == 2);
    CHECK(Execute("status --timeout-s=-1").status == 2);
    CHECK(
        Execute("status --controls nowhere --cluster-key-file " + key).status ==
        2);
    CHECK(Execute("quarantine release xyz").status == 2);
  }
  SUBCASE("commands have a help text") {
    CHECK(Execute("--help").status == 0);
    CHECK(Execute("members add --help").output.find("NAME ADDRESS") !=
          std::string::npos);
  }
  SUBCASE("an unreachable control exits with 4 and is named") {
    const command_result result = Execute(
        "status --timeout-s 0.5 --controls 127.0.0.1:1 --cluster-key-file " +
        key);
    CHECK(result.status == 4);
    CHECK(result.output.find("127.0.0.1:1") != std::string::npos);
  }
  SUBCASE("the digest of a key is its SHA-256") {
    CHECK(Execute("key-digest < " + key).output ==
          "1e2064dade4fca852efdd27d649f0388a0133d50ebef6f8bcbc740676ac420df"
          "\n");
  }
}

TEST_CASE("the example configurations have no findings") {
  const char* bin = std::getenv("WR_BIN_DIR");
  const std::string examples =
      std::string(bin == nullptr ? "build" : bin) + "/../examples/";
  CHECK(Execute("check " + examples + "regie").status == 0);
  CHECK(Execute("check " + examples + "clearsight").status == 0);
}

TEST_CASE("wrctl handles the replies of control replicas") {
  temporary_directory directory;
  const std::string key = directory.Write("key", kKey);
  directory.Write("set.toml", "[region.sfax]\n");
  net::loop event_loop;
  const auto flags = [&](const simulated_control& control) {
    return " --cluster-key-file " + key + " --controls " + control.address();
  };

  SUBCASE("a refusal is printed with its code") {
    simulated_control control(
        event_loop, [](const wire::admin_request& request) {
          return wire::admin_reply{.correlation = request.correlation,
                                   .result = wire::admin_result::kRefused,
                                   .code = "stale_base",
                                   .message = "the newest revision is 8"};
        });
    const command_result result = ExecuteWhileServing(
        event_loop, "publish " + directory.path() +
                        " --base 7 --operation-id x" + flags(control));
    CHECK(result.status == 3);
    CHECK(
        result.output.find("refused (stale_base): the newest revision is 8") !=
        std::string::npos);
    REQUIRE(control.received.size() == 1);
    const auto& sent = std::get<wire::publish_request>(control.received[0]);
    CHECK(sent.base_revision == 7);
    CHECK(sent.operation_id == "x");
    CHECK(sent.full);
    CHECK(sent.changed.size() == 1);
  }

  SUBCASE("a follower redirects to the leader") {
    simulated_control leader(
        event_loop, [](const wire::admin_request& request) {
          return Ok(request, R"({"revision":3,"in_force_everywhere":true})");
        });
    simulated_control follower(
        event_loop, [&](const wire::admin_request& request) {
          return wire::admin_reply{.correlation = request.correlation,
                                   .result = wire::admin_result::kNotLeader,
                                   .code = "not_leader",
                                   .message = leader.address()};
        });
    const command_result result =
        ExecuteWhileServing(event_loop, "status" + flags(follower));
    CHECK(result.status == 0);
    CHECK(result.output.find("revision: 3") != std::string::npos);
  }

  SUBCASE("a request without a decision is resent unchanged") {
    int asked = 0;
    simulated_control control(
        event_loop, [&](const wire::admin_request& request) {
          return ++asked < 3
                     ? wire::admin_reply{.correlation = request.correlation}
                     : wire::admin_reply{.correlation = request.correlation,
                                         .result = wire::admin_result::kOk,
                                         .json = R"({"revision":5})"};
        });
    const command_result result =
        ExecuteWhileServing(event_loop, "publish " + directory.path() +
                                            " --base 4" + flags(control));
    CHECK(result.status == 0);
    CHECK(result.output.find("accepted as revision 5") != std::string::npos);
    REQUIRE(control.received.size() == 3);
    CHECK(std::get<wire::publish_request>(control.received[0]) ==
          std::get<wire::publish_request>(control.received[2]));
  }

  SUBCASE("a publish without a reply prints the arguments for a resend") {
    simulated_control control(
        event_loop, [](const wire::admin_request&) { return std::nullopt; });
    const command_result result = ExecuteWhileServing(
        event_loop, "publish " + directory.path() +
                        " --base 4 --operation-id abc --timeout-s 0.5" +
                        flags(control));
    CHECK(result.status == 4);
    CHECK(result.output.find("--base 4 --operation-id abc") !=
          std::string::npos);
  }

  SUBCASE("status --wait returns when the revision is in force") {
    int asked = 0;
    simulated_control control(
        event_loop, [&](const wire::admin_request& request) {
          return Ok(request, ++asked < 3 ? R"({"in_force_everywhere":false})"
                                         : R"({"in_force_everywhere":true})");
        });
    CHECK(ExecuteWhileServing(event_loop, "status --wait" + flags(control))
              .status == 0);
    CHECK(asked == 3);
  }

  SUBCASE("status --wait ends at its time limit") {
    simulated_control control(
        event_loop, [](const wire::admin_request& request) {
          return Ok(request, R"({"in_force_everywhere":false})");
        });
    CHECK(ExecuteWhileServing(event_loop,
                              "status --wait --timeout-s 0.5" + flags(control))
              .status == 1);
  }

  SUBCASE("the timeline holds the events of all processes in order") {
    const auto process = [&](std::uint64_t hlc, const char* name) {
      return [=](const wire::admin_request& request) -> wire::control_message {
        return wire::admin_reply{
            .correlation = request.correlation,
            .result = wire::admin_result::kOk,
            .events = {{.hlc = hlc, .process = name, .kind = "seen"}}};
      };
    };
    simulated_control agent(event_loop, process(2 << 16, "agent-1"));
    simulated_control control(
        event_loop, [&](const wire::admin_request& request) {
          if (std::holds_alternative<wire::get_members>(request.call)) {
            return Ok(request, R"({"members":[{"address":")" + agent.address() +
                                   R"("}]})");
          }
          return process(1 << 16, "control-1")(request);
        });
    const command_result result = ExecuteWhileServing(
        event_loop, "timeline --request r1" + flags(control));
    CHECK(result.status == 0);
    CHECK(result.output.find("control-1") < result.output.find("agent-1"));
    CHECK(result.output.find("agent-1") != std::string::npos);
    CHECK(std::get<base::timeline_filter>(agent.received.back()).request_id ==
          "r1");
  }
}

}  // namespace
}  // namespace wisteriaroute
