// Guards the whole path from the operator's files to a caller's answer: starts
// the demo system and operates it as its page (docs/OPERATING.md) says.

#include <doctest/doctest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute {
namespace {

struct command_result {
  int status = -1;
  std::string output;
};

command_result Execute(const std::string& line) {
  command_result result;
  FILE* pipe = popen((line + " 2>&1").c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::array<char, 4'096> buffer{};
  while (const std::size_t count =
             fread(buffer.data(), 1, buffer.size(), pipe)) {
    result.output.append(buffer.data(), count);
  }
  const int status = pclose(pipe);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

/** A running demo system, stopped at the end of the test. */
class demo_system {
 public:
  demo_system() {
    const char* bin = std::getenv("WR_BIN_DIR");
    bin_ = std::filesystem::absolute(bin == nullptr ? "build" : bin).string();
    std::string pattern =
        std::filesystem::temp_directory_path().string() + "/wr-demo-XXXXXX";
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    directory_ = pattern;
    const command_result started = Script("up " + directory_);
    INFO(started.output);
    REQUIRE(started.status == 0);
    endpoints_ =
        nlohmann::json::parse(base::ReadFile(directory_ + "/endpoints.json"));
  }
  ~demo_system() {
    Script("down " + directory_);
    std::filesystem::remove_all(directory_);
  }
  demo_system(const demo_system&) = delete;
  demo_system& operator=(const demo_system&) = delete;

  command_result Wrctl(const std::string& arguments) const {
    return Execute(bin_ + "/wrctl " + arguments + " --settings " + directory_ +
                   "/wrctl.toml");
  }
  nlohmann::json Read(const std::string& arguments) const {
    return nlohmann::json::parse(Wrctl(arguments + " --output json").output);
  }
  /** The status and body that a caller gets. */
  std::string Post(std::size_t entry,
                   const std::string& path,
                   const std::string& body,
                   const std::string& headers) const {
    const std::string url = endpoints_["entries"][entry].get<std::string>();
    const std::string key =
        endpoints_["keys"]["residences-north"].get<std::string>();
    return Execute(
               "curl -s -m 20 -w '%{http_code}' -H 'Authorization: Bearer " +
               key + "' " + headers + " -d '" + body + "' " + url + path)
        .output;
  }
  std::string Example(const std::string& name) const {
    return bin_ + "/../examples/" + name;
  }

 private:
  command_result Script(const std::string& arguments) const {
    return Execute("WR_BUILD=" + bin_ + " " + bin_ +
                   "/../scripts/demo --no-build " + arguments);
  }

  std::string bin_;
  std::string directory_;
  nlohmann::json endpoints_;
};

bool EndsWith(const std::string& text, std::string_view end) {
  return text.ends_with(end);
}

TEST_CASE("an operator runs a whole system") {
  const demo_system system;

  // A generation request and an order are answered.
  CHECK(EndsWith(system.Post(0, "/v1/chat/completions",
                             R"({"model":"assistant","max_tokens":4,)"
                             R"("messages":[{"role":"user","content":"x"}]})",
                             "-H 'X-Request-Id: t-generation'"),
                 "200"));
  const std::string order =
      "-H 'Idempotency-Key: k1' -H 'X-Request-Id: t-call'";
  const std::string first = system.Post(0, "/orders/bookings", "{}", order);
  CHECK(EndsWith(first, "201"));

  // A resend through the other entry gets the recorded response.
  CHECK(system.Post(1, "/orders/bookings", "{}", order) == first);

  // The time line shows both the entry and the agent.
  const nlohmann::json timeline = system.Read("timeline --request t-call");
  std::string kinds;
  for (const nlohmann::json& event : timeline["events"]) {
    kinds += event["kind"].get<std::string>() + " ";
  }
  CHECK(kinds.find("attempt_started") != std::string::npos);
  CHECK(kinds.find("answered") != std::string::npos);
  CHECK(timeline["silent"].empty());

  // Publishing is compare-and-set, and a resend gets the first answer.
  const std::string publish =
      "publish " + system.Example("regie") + " --operation-id op-1 --base ";
  CHECK(system.Wrctl(publish + "1").status == 0);
  CHECK(system.Wrctl(publish + "1").output.find("as revision 2") !=
        std::string::npos);
  CHECK(system
            .Wrctl("publish " + system.Example("clearsight") +
                   " --operation-id op-1 --base 2")
            .status == 3);
  CHECK(
      system.Wrctl("publish " + system.Example("regie") + " --base 1").status ==
      3);
  CHECK(system.Wrctl("status --wait --timeout-s 10").status == 0);
  CHECK(system.Read("status")["in_force"] == 2);

  // Draining, refusals and changes of replicas.
  CHECK(system.Wrctl("drain agent-orders-1").status == 0);
  CHECK(system.Read("members")["drained"] ==
        nlohmann::json::array({"agent-orders-1"}));
  CHECK(system.Wrctl("undrain agent-orders-1").status == 0);
  CHECK(system.Wrctl("rebalance no-such-group").status == 3);
  CHECK(system.Wrctl("members remove control-9").status == 3);
  CHECK(system.Read("groups")["groups"].size() == 3);
}

}  // namespace
}  // namespace wisteriaroute
