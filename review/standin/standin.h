#ifndef REVIEW_STANDIN_STANDIN_H_
#define REVIEW_STANDIN_STANDIN_H_

// Stand-ins of the review: platform (starts and ends processes, renders
// settings), operator, client and backend server ("runner"). Blocking sockets
// and threads, no dependency beyond the C++ library.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               start)
      .count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The case can't run here; run.sh exits with 2. */
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** record.txt: one line an event, with ms since the start. */
class record {
 public:
  explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw cannot_run("can't write " + path);
  }
  ~record() { std::fclose(file_); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::va_list arguments;
    va_start(arguments, format);
    char text[2048];
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8lld %s\n", static_cast<long long>(NowMs()), text);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

// ---- sockets

inline sockaddr_in ToAddress(const std::string& text) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

inline int Listen(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = ToAddress(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline std::string LocalAddress(int fd) {
  sockaddr_in at{};
  socklen_t length = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  char host[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
}

/** Loopback IPs of this run; runs at the same time have others. */
inline std::string Ip(unsigned index) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 12 & 63)) + "." +
         std::to_string(pid >> 4 & 255) + "." +
         std::to_string((pid & 15) * 16 + 1 + index);
}

/** A port that is free on all IPs of this run. */
inline int FreePort() {
  static std::set<int> taken;
  for (int tries = 0; tries < 200; ++tries) {
    const int first = Listen(Ip(0) + ":0");
    if (first < 0) break;
    const std::string address = LocalAddress(first);
    const int port = std::stoi(address.substr(address.rfind(':') + 1));
    bool free = taken.insert(port).second;
    for (unsigned i = 1; free && i < 12; ++i) {
      const int other = Listen(Ip(i) + ":" + std::to_string(port));
      free = other >= 0;
      if (other >= 0) close(other);
    }
    close(first);
    if (free) return port;
  }
  throw cannot_run("no free port");
}

/** A connection with buffered reads and a time limit on each wait. */
class stream {
 public:
  explicit stream(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~stream() { Close(); }
  stream(const stream&) = delete;

  static std::unique_ptr<stream> Connect(const std::string& address, int limit_ms) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in to = ToAddress(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS) {
      close(fd);
      return nullptr;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (poll(&wait, 1, limit_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<stream>(fd);
  }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }
  bool Write(const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
      const ssize_t count = send(fd_, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        if (count < 0 && errno == EINTR) continue;
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /** 1: more bytes in the buffer; 0: end; -1: error; -2: time limit. */
  int Fill(std::int64_t until_ms) {
    for (;;) {
      const std::int64_t left = until_ms - NowMs();
      if (left <= 0) return -2;
      pollfd wait{fd_, POLLIN, 0};
      const int ready = poll(&wait, 1, static_cast<int>(left));
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) return -2;
      char bytes[16384];
      const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
      if (count < 0) return -1;
      if (count == 0) return 0;
      in.append(bytes, static_cast<std::size_t>(count));
      return 1;
    }
  }
  /** Whether the peer has closed or reset the connection. */
  bool PeerGone() {
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, 0) != 1) return false;
    char byte;
    return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }
  std::string in;

 private:
  int fd_;
};

// ---- HTTP

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}
using headers = std::map<std::string, std::string>;

struct message {
  std::string start;
  headers fields;
  std::string body;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

/** Reads up to and including the empty line. 1, or what Fill returns. */
inline int ReadHead(stream& from, message& to, std::int64_t until_ms) {
  for (;;) {
    const auto end = from.in.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::istringstream lines(from.in.substr(0, end + 2));
      from.in.erase(0, end + 4);
      std::string line;
      std::getline(lines, line);
      to.start = line.substr(0, line.size() - 1);
      while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        if (!value.empty() && value.back() == '\r') value.pop_back();
        to.fields[Lower(line.substr(0, colon))] = value;
      }
      return 1;
    }
    const int filled = from.Fill(until_ms);
    if (filled != 1) return filled;
  }
}

/**
 * Reads a body. `data` gets the bytes as they come and returns a new time
 * limit. Returns 1 if the body is complete, else what Fill returned.
 */
inline int ReadBody(stream& from, const message& head, bool may_end_with_connection,
                    std::int64_t until_ms,
                    const std::function<std::int64_t(const std::string&)>& data) {
  const auto fill = [&] { return from.Fill(until_ms); };
  if (Lower(head.Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line;
      while ((line = from.in.find("\r\n")) == std::string::npos) {
        if (const int filled = fill(); filled != 1) return filled;
      }
      const std::size_t size = std::stoul(from.in.substr(0, line), nullptr, 16);
      while (from.in.size() < line + 2 + size + 2) {
        if (const int filled = fill(); filled != 1) return filled;
      }
      if (size > 0) until_ms = data(from.in.substr(line + 2, size));
      from.in.erase(0, line + 2 + size + 2);
      if (size == 0) return 1;
    }
  }
  if (const std::string length = head.Field("content-length"); !length.empty()) {
    std::size_t left = std::stoul(length);
    while (left > 0) {
      if (from.in.empty()) {
        if (const int filled = fill(); filled != 1) return filled;
      }
      const std::size_t part = std::min(left, from.in.size());
      until_ms = data(from.in.substr(0, part));
      from.in.erase(0, part);
      left -= part;
    }
    return 1;
  }
  if (!may_end_with_connection) return 1;
  for (;;) {
    if (!from.in.empty()) until_ms = data(std::exchange(from.in, {}));
    const int filled = fill();
    if (filled == 0) return 1;
    if (filled != 1) return filled;
  }
}

struct answer {
  /** 0: none. */
  int status = 0;
  headers fields;
  std::string body;
  bool complete = false;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline std::string RequestText(const std::string& method, const std::string& path,
                               const std::string& host, const headers& fields,
                               const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/** One call on a connection of its own. */
inline answer Call(const std::string& address, const std::string& method,
                   const std::string& path, const std::string& host, headers fields,
                   const std::string& body, int limit_ms) {
  answer result;
  const std::int64_t until = NowMs() + limit_ms;
  const auto conn = stream::Connect(address, std::min(limit_ms, 1000));
  if (conn == nullptr) return result;
  fields["Connection"] = "close";
  if (!conn->Write(RequestText(method, path, host, fields, body))) return result;
  message head;
  if (ReadHead(*conn, head, until) != 1) return result;
  result.status = std::stoi(head.start.substr(9, 3));
  result.fields = head.fields;
  result.complete = ReadBody(*conn, head, true, until, [&](const std::string& data) {
                      result.body += data;
                      return until;
                    }) == 1;
  return result;
}

/**
 * A caller of control (PROTOCOL.md, "The operator's API"): follows a 307 twice,
 * moves on to the next node after a failure, a 5xx or a second without a
 * response. One round over the nodes; the caller repeats it.
 */
class control_caller {
 public:
  explicit control_caller(std::vector<std::string> nodes) : nodes_(std::move(nodes)) {}
  answer Once(const std::string& method, const std::string& path, const std::string& body) {
    std::string at = nodes_[next_ % nodes_.size()];
    answer got;
    for (int hop = 0; hop < 3; ++hop) {
      got = Call(at, method, path, at, {{"Content-Type", "application/json"}}, body, 1000);
      asked = at;
      if (got.status != 307) break;
      std::string to = got.Field("location").substr(std::strlen("http://"));
      at = to.substr(0, to.find('/'));
    }
    if (got.status / 100 != 2 || !got.complete) ++next_;
    return got;
  }
  /** The node that gave the last answer. */
  std::string asked;

 private:
  std::vector<std::string> nodes_;
  std::size_t next_ = 0;
};

// ---- platform

class process {
 public:
  process(std::string name, std::vector<std::string> command, std::string log)
      : name_(std::move(name)), command_(std::move(command)), log_(std::move(log)) {}
  ~process() { Kill(); }
  void Start() {
    const int output = open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    std::vector<char*> words;
    for (std::string& word : command_) words.push_back(word.data());
    words.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
      // The process ends with this one, however this one ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execv(words[0], words.data());
      _exit(127);
    }
    close(output);
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      Wait();
    }
  }
  int Wait() {
    int status = 0;
    if (pid_ > 0) waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
  }
  /** Reaps the process if it has ended. */
  bool IsRunning(int* status = nullptr) {
    int ended = 0;
    if (pid_ > 0 && waitpid(pid_, &ended, WNOHANG) == pid_) {
      pid_ = 0;
      if (status != nullptr) *status = ended;
    }
    return pid_ > 0;
  }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = 0;
};

/**
 * The machines of a small deployment. Settings are what deploy/control.toml and
 * deploy/gateway.toml give for them; only the metrics port is a free one.
 * Index 0 to 3: core machines; 4 and up: fronts.
 */
class deployment {
 public:
  explicit deployment(record& out)
      : out_(out), internal_(FreePort()), control_(FreePort()), metrics_(FreePort()),
        front_(FreePort()), ready_(FreePort()) {
    std::string pattern = (std::filesystem::temp_directory_path() / "wr_review_XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw cannot_run("no temporary folder");
    folder = pattern;
    for (const char* program : {"target/wisteriaroute-control", "target/wisteriaroute-gateway"}) {
      if (access(program, X_OK) != 0) throw cannot_run(std::string(program) + " isn't built");
    }
  }
  ~deployment() {
    machines_.clear();
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  }

  std::string ControlAddress(unsigned index) const {
    return Ip(index) + ":" + std::to_string(control_);
  }
  std::string FrontAddress(unsigned index) const {
    return Ip(index) + ":" + std::to_string(front_);
  }
  std::string DataFolder(unsigned index) const {
    return folder + "/data-" + std::to_string(index);
  }

  process& StartControl(unsigned index, bool bootstrap) {
    return Start(index, "target/wisteriaroute-control", WriteControl(index, bootstrap));
  }
  /** The platform names other seeds in the settings of the core machines `of`,
   * from now on, while they run. */
  void ChangeSeeds(std::vector<unsigned> seeds, const std::vector<unsigned>& of) {
    seeds_ = std::move(seeds);
    for (const unsigned index : of) WriteControl(index, false);
  }
  std::string WriteControl(unsigned index, bool bootstrap) {
    const std::string file = folder + "/control-" + std::to_string(index) + ".toml";
    std::ofstream(file + ".new") << Process(index, false) << "\n[control]\ndata_dir = \"" << DataFolder(index)
                        << "\"\nbootstrap = " << (bootstrap ? "true" : "false")
                        << "\nlisten_http = \"" << ControlAddress(index)
                        << "\"\nreplicas_from_controls = true\nsnapshot_entries = 100\n"
                           "kept_entries = 32\njoin_automatically = true\ntolerated_losses = 1\n";
    std::filesystem::rename(file + ".new", file);
    return file;
  }
  process& StartGateway(unsigned index) {
    const std::string file = folder + "/gateway-" + std::to_string(index) + ".toml";
    std::ofstream(file) << Process(index, true) << "\n[gateway]\nlisten_http = \""
                        << FrontAddress(index) << "\"\nlisten_ready = \"" << Ip(index) << ":"
                        << ready_
                        << "\"\nserve_without_quorum = true\nretry_floor = 6\n";
    return Start(index, "target/wisteriaroute-gateway", file);
  }
  process& Machine(unsigned index) { return *machines_.at(index); }

  bool IsReady(unsigned index) {
    return Call(Ip(index) + ":" + std::to_string(ready_), "GET", "/ready", "ready", {}, "", 500)
               .status == 200;
  }
  void WaitReady(unsigned index) {
    const std::int64_t until = NowMs() + 20'000;
    while (!IsReady(index)) {
      if (NowMs() > until) throw cannot_run("a gateway doesn't get ready");
      SleepMs(50);
    }
  }
  /** Sends a configuration until it is acknowledged, as the operator does. */
  void Publish(control_caller& caller, const std::string& text, const char* what) {
    const std::int64_t until = NowMs() + 20'000;
    for (;;) {
      const answer got = caller.Once("POST", "/configuration/put", text);
      if (got.status == 200 && got.complete) {
        out_.Line("operator: %s acknowledged by %s", what, caller.asked.c_str());
        return;
      }
      if (got.status / 100 == 4) throw cannot_run(std::string(what) + " refused: " + got.body);
      if (NowMs() > until) throw cannot_run(std::string(what) + " isn't acknowledged");
      SleepMs(100);
    }
  }
  std::string folder;

 private:
  std::string Process(unsigned index, bool learns) const {
    std::string seeds;
    for (const unsigned i : seeds_) {
      seeds += (seeds.empty() ? "\"" : ", \"") + ControlAddress(i) + "\"";
    }
    return "[process]\nname = \"" + Ip(index) + "\"\nregion = \"r\"\ndata_center = \"z" +
           std::to_string(index % 3) + "\"\nlisten = \"" + Ip(index) + ":" +
           std::to_string(internal_) + "\"\ncontrols = [" + seeds +
           "]\ncontrol_port = " + std::to_string(internal_) +
           "\ntrusted_network = true\nprotocol = \"platform\"\nlisten_metrics = \"" + Ip(index) +
           ":" + std::to_string(metrics_) + "\"\n" + (learns ? "learn_controls = true\n" : "");
  }
  process& Start(unsigned index, const std::string& program, const std::string& file) {
    auto& slot = machines_[index];
    slot.reset();
    slot = std::make_unique<process>(
        program, std::vector<std::string>{program, "--settings", file},
        folder + "/machine-" + std::to_string(index) + ".log");
    slot->Start();
    return *slot;
  }

  record& out_;
  std::vector<unsigned> seeds_ = {0, 1, 2};
  int internal_;
  int control_;
  int metrics_;
  int front_;
  int ready_;
  std::map<unsigned, std::unique_ptr<process>> machines_;
};

// ---- runner

/** A backend server as PROTOCOL.md tells ("Runners", "Service discovery"). */
class runner {
 public:
  /** Writes the answer; false: close the connection. */
  using handler = std::function<bool(runner&, stream&, const message&)>;

  runner(std::string id, std::string service, unsigned ip_index,
         std::vector<std::string> controls, unsigned slots, handler handle,
         std::int64_t born = WallMs(), const std::string& address = "")
      : id_(std::move(id)), service_(std::move(service)), slots_(slots),
        born_(born), handle_(std::move(handle)), caller_(std::move(controls)) {
    listener_ = Listen(address.empty() ? Ip(ip_index) + ":0" : address);
    if (listener_ < 0) throw cannot_run("a runner can't listen");
    address_ = LocalAddress(listener_);
    accept_thread_ = std::thread([this] { AcceptAll(); });
    beat_thread_ = std::thread([this] { Beat(); });
  }
  ~runner() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    accept_thread_.join();
    beat_thread_.join();
    close(listener_);
    while (open_ > 0) SleepMs(10);
  }
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  /** The runner exits: all of its connections end at once. */
  void Exit() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    for (const int fd : fds_) shutdown(fd, SHUT_RDWR);
  }
  /** From the next heartbeat on, sent at once, the state is `draining`. */
  void Drain() { draining_ = true; }
  /** When a `draining` heartbeat was acknowledged first; 0: not yet. */
  std::int64_t drain_acked_ms() const { return drain_acked_ms_; }
  bool stopping() const { return stopping_; }
  unsigned slots() const { return slots_; }
  std::atomic<int> running{0};

  /** The headers that each answer of this runner to a run request bears. */
  std::string AnswerFields(const message& request) const {
    return "Wisteriaroute-Request-Id: " + request.Field("wisteriaroute-request-id") +
           "\r\nWisteriaroute-Response-Seal: " + id_ + "." +
           request.Field("wisteriaroute-request-id") + "\r\nWisteriaroute-Server-Load: " +
           std::to_string(running.load()) + ",0," + std::to_string(slots_) + "\r\n";
  }

 private:
  void AcceptAll() {
    while (!stopping_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      ++open_;
      {
        const std::lock_guard lock(mutex_);
        fds_.insert(fd);
      }
      std::thread([this, fd] {
        Serve(fd);
        --open_;
      }).detach();
    }
  }
  void Serve(int fd) {
    ServeConnection(fd);
    const std::lock_guard lock(mutex_);
    fds_.erase(fd);
    close(fd);
  }
  void ServeConnection(int fd) {
    stream conn(dup(fd));
    while (!stopping_) {
      message request;
      int got = -2;
      while (!stopping_ && (got = ReadHead(conn, request, NowMs() + 200)) == -2) {
      }
      if (got != 1) return;
      const auto space = request.start.find(' ');
      const int body = ReadBody(conn, request, false, NowMs() + 3000, [&](const std::string& data) {
        request.body += data;
        return NowMs() + 3000;
      });
      if (body != 1) return;
      const std::string path = request.start.substr(space + 1, request.start.rfind(' ') - space - 1);
      if (path == "/health") {
        conn.Write("HTTP/1.1 200 OK\r\nWisteriaroute-Instance: " + id_ +
                   "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const std::string expected = request.Field("wisteriaroute-expect-instance");
      if (!expected.empty() && expected != id_) {
        conn.Write("HTTP/1.1 421 Misdirected Request\r\nWisteriaroute-Request-Id: " +
                   request.Field("wisteriaroute-request-id") +
                   "\r\nWisteriaroute-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!handle_(*this, conn, request)) return;
    }
  }
  void Beat() {
    while (!stopping_) {
      const bool draining = draining_;
      const std::string body =
          "{\"service\":\"" + service_ + "\",\"address\":\"" + address_ +
          "\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
          ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"warmup_left_ms\":0,\"born\":" + std::to_string(born_) +
          ",\"sequence\":" + std::to_string(++sequence_) + "}";
      const bool acked =
          caller_.Once("POST", "/instances/" + id_ + "/heartbeat", body).status / 100 == 2;
      if (acked && draining && drain_acked_ms_ == 0) drain_acked_ms_ = NowMs();
      for (int i = 0; i < (acked ? 60 : 5) && !stopping_ && draining == draining_; ++i) {
        SleepMs(20);
      }
    }
  }

  std::string id_;
  std::string service_;
  unsigned slots_;
  std::int64_t born_;
  handler handle_;
  control_caller caller_;
  std::string address_;
  int listener_ = -1;
  std::uint64_t sequence_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
  std::atomic<std::int64_t> drain_acked_ms_{0};
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::set<int> fds_;
  std::thread accept_thread_;
  std::thread beat_thread_;
};

/** Ends the run after 115 s, whatever happens, with "couldn't run". The
 * processes that it started end with it. */
inline void LimitTime() {
  std::thread([] {
    SleepMs(115'000);
    std::fprintf(stderr, "time limit\n");
    _exit(2);
  }).detach();
}

inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** Runs a case: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
inline int Main(int argc, char** argv, const std::function<bool(record&)>& rule_held) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  NowMs();
  LimitTime();
  try {
    record out(argv[1]);
    try {
      out.Line("trouble: %s", WithTrouble() ? "yes" : "no");
      const bool held = rule_held(out);
      out.Line("result: the rule %s", held ? "held" : "was broken");
      return held ? 0 : 1;
    } catch (const cannot_run& error) {
      out.Line("couldn't run: %s", error.what());
      std::fprintf(stderr, "couldn't run: %s\n", error.what());
      return 2;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "couldn't run: %s\n", error.what());
    return 2;
  }
}

}  // namespace review

#endif  // REVIEW_STANDIN_STANDIN_H_
