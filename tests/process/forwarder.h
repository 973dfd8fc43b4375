#ifndef TESTS_PROCESS_FORWARDER_H_
#define TESTS_PROCESS_FORWARDER_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace wisteriaroute::testing {

/**
 * Forwards TCP connections on loopback to one address. It can make connections
 * permanently silent: it drops their bytes but doesn't close them, as when a
 * device between two hosts has lost its state of the connection.
 */
class forwarder {
 public:
  explicit forwarder(std::string target);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  const std::string& address() const { return address_; }

  /** Makes all open connections silent for good; new ones work. */
  void SilenceOpenConnections() { silence_open_ = true; }
  /** Drops the bytes of all connections, new ones included, while `on`. */
  void SetPartitioned(bool on) { partitioned_ = on; }

 private:
  struct connection {
    int client = -1;
    int server = -1;
    bool silent = false;
  };

  void Run();
  void Accept();
  bool Forward(connection& target, short client_events, short server_events);

  std::string target_;
  std::string address_;
  int listener_ = -1;
  std::vector<connection> connections_;
  std::atomic<bool> silence_open_ = false;
  std::atomic<bool> partitioned_ = false;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_FORWARDER_H_
