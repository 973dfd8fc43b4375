#include "libwisteriaroute/base/end_process.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace wisteriaroute::base {
namespace {

// A destructor of the log library waits for threads that may never end. Without
// EndProcess a stopping gateway hangs there, and its host restarts it only
// after the time limit for stopping.
TEST_CASE("EndProcess exits even if an exit handler blocks") {
  const pid_t child = fork();
  if (child == 0) {
    std::atexit([] { pause(); });
    EndProcess(3);
  }
  int status = 0;
  constexpr int kTries = 500;
  pid_t ended = 0;
  for (int i = 0; i < kTries && ended == 0; ++i) {
    ended = waitpid(child, &status, WNOHANG);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  if (ended == 0) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
  }
  CHECK(ended == child);
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 3);
}

}  // namespace
}  // namespace wisteriaroute::base
