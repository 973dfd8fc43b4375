#ifndef TESTS_PROCESS_FORWARDER_H_
#define TESTS_PROCESS_FORWARDER_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace wisteriaroute::testing {

/**
 * Forwards TCP connections on loopback to one address. Connections can be made
 * to go silent for good: their bytes are dropped and they are never closed, as
 * when something between two hosts has lost track of them.
 */
class forwarder {
 public:
  explicit forwarder(std::string target);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  const std::string& address() const { return address_; }

  /** Makes all connections that are open now silent; new ones work. */
  void SilenceOpen() { silence_open_ = true; }
  /** Makes all connections silent, new ones as well, until `false`. */
  void Partition(bool on) { partitioned_ = on; }

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
