#ifndef TESTS_PROCESS_LONE_CONTROL_H_
#define TESTS_PROCESS_LONE_CONTROL_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/address.h"
#include "tests/process/free_addresses.h"

namespace wisteriaroute::testing {

/** Runs one control replica as a process on a trusted network. */
class lone_control {
 public:
  /** Starts the replica, which may open `descriptors` descriptors. */
  explicit lone_control(rlim_t descriptors)
      : addresses_(FreeAddresses(3)),
        binaries_(getenv("WR_BIN_DIR") == nullptr ? "build"
                                                  : getenv("WR_BIN_DIR")) {
    std::string pattern = "/tmp/wisteriaroute_lone_control_XXXXXX";
    folder_ = mkdtemp(pattern.data());
    WriteSettings();
    const std::string program = binaries_ + "/wisteriaroute-control";
    const std::string settings = folder_ + "/control.toml";
    const std::string line =
        program + " --settings " + settings + " --bootstrap > /dev/null";
    if (std::system(line.c_str()) != 0) {
      throw std::runtime_error("the data directory can't be made");
    }
    const std::string log = folder_ + "/control.log";
    pid_ = fork();
    if (pid_ == 0) {
      const rlimit limit{.rlim_cur = descriptors, .rlim_max = descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
      const int output = open(log.c_str(), O_CREAT | O_WRONLY, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
            nullptr);
      _exit(127);
    }
  }
  ~lone_control() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  lone_control(const lone_control&) = delete;
  lone_control& operator=(const lone_control&) = delete;

  const std::string& links() const { return addresses_[0]; }
  const std::string& http() const { return addresses_[1]; }
  const std::string& metrics() const { return addresses_[2]; }
  bool IsAlive() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }
  std::size_t Descriptors() const {
    const std::filesystem::directory_iterator all("/proc/" +
                                                  std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  /** Most memory that the process has had resident. */
  std::size_t PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    constexpr std::string_view kField = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(kField)) {
        return std::stoull(line.substr(kField.size()));
      }
    }
    return 0;
  }

 private:
  void WriteSettings() const {
    std::ofstream(folder_ + "/control.toml")
        << "[process]\nname = \"control-0\"\nregion = \"north\"\n"
        << "data_center = \"north-a\"\nlisten = \"" << links()
        << "\"\ncontrols = [\"" << links() << "\"]\nlisten_metrics = \""
        << metrics() << "\"\ntrusted_network = true\n"
        << "[control]\ndata_dir = \"" << folder_ << "/data\"\nlisten_http = \""
        << http() << "\"\nreplicas = [{name = \"control-0\", address = \""
        << links() << "\"}]\n";
  }

  std::vector<std::string> addresses_;
  std::string binaries_;
  std::string folder_;
  pid_t pid_ = 0;
};

/** Connections that send what a test says and read nothing. */
class peer_crowd {
 public:
  peer_crowd(const std::string& address, std::size_t count)
      : address_(net::ParseAddress(address)), peers_(count) {
    for (peer& one : peers_) {
      Connect(one);
    }
  }
  ~peer_crowd() {
    for (peer& one : peers_) {
      close(one.fd);
    }
  }
  peer_crowd(const peer_crowd&) = delete;
  peer_crowd& operator=(const peer_crowd&) = delete;

  /**
   * Each peer sends `head` and then `part` repeatedly, `bytes` in total. Ends
   * when all have sent that or were disconnected, or after `limit_us`.
   */
  void Send(const std::string& head,
            const std::string& part,
            std::size_t bytes,
            base::time_us limit_us) {
    const base::time_us until = base::MonotonicUs() + limit_us;
    bool busy = true;
    while (busy && base::MonotonicUs() < until) {
      busy = false;
      bool sent = false;
      for (peer& one : peers_) {
        const std::size_t before = one.sent;
        busy = SendSome(one, head, part, bytes) || busy;
        sent = sent || one.sent > before;
      }
      if (!sent) {
        usleep(5'000);
      }
    }
  }
  /** Replaces the connections that were closed. */
  void Reconnect() {
    for (peer& one : peers_) {
      char byte = 0;
      const ssize_t count = recv(one.fd, &byte, 1, MSG_PEEK);
      if (count == 0 || (count < 0 && errno != EAGAIN)) {
        close(one.fd);
        Connect(one);
      }
    }
  }

 private:
  struct peer {
    int fd = -1;
    std::size_t sent = 0;
    bool lost = false;
  };

  void Connect(peer& one) const {
    one = {.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
    connect(one.fd, address_.get(), address_.length);
  }
  /** Returns whether the peer can send more now or later. */
  static bool SendSome(peer& one,
                       const std::string& head,
                       const std::string& part,
                       std::size_t bytes) {
    while (!one.lost && one.sent < bytes) {
      const bool first = one.sent < head.size();
      const std::string& text = first ? head : part;
      const std::size_t at =
          first ? one.sent : (one.sent - head.size()) % part.size();
      const std::size_t wanted = std::min(text.size() - at, bytes - one.sent);
      const ssize_t count =
          send(one.fd, text.data() + at, wanted, MSG_NOSIGNAL);
      if (count < 0) {
        one.lost = errno != EAGAIN;
        break;
      }
      one.sent += static_cast<std::size_t>(count);
    }
    return !one.lost && one.sent < bytes;
  }

  net::socket_address address_;
  std::vector<peer> peers_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_LONE_CONTROL_H_
