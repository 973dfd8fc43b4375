#ifndef TESTS_PROCESS_RAW_CALLERS_H_
#define TESTS_PROCESS_RAW_CALLERS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::testing {

/** Bytes that a caller sends: `prefix`, then `unit` repeatedly. */
struct caller_input {
  std::string prefix;
  std::string unit;
  /** Total number of bytes; nothing more is sent. */
  std::size_t bytes = 0;
};

/** Connections of callers that obey no protocol. Not thread-safe. */
class raw_callers {
 public:
  /** Connects `count` callers to `IP:port`. */
  raw_callers(std::string_view address, std::size_t count);
  ~raw_callers();
  raw_callers(const raw_callers&) = delete;
  raw_callers& operator=(const raw_callers&) = delete;

  /**
   * All callers send `input` at the same time, from where they are in it, until
   * each has sent all of it or was disconnected, or `limit_us` has passed.
   */
  void Send(const caller_input& input, base::time_us limit_us);
  /** Each caller sends one byte. */
  void SendByte(char byte);
  /** Each caller reads at most `bytes` of what has arrived. */
  void Read(std::size_t bytes);
  /** The first bytes that the first caller has read. */
  const std::string& beginning() const { return callers_.front().beginning; }
  /** Number of callers that were not disconnected when they last sent or read.
   */
  std::size_t connected() const;
  /** Closes all connections. */
  void Close();

 private:
  struct caller {
    int fd = -1;
    std::size_t sent = 0;
    std::string beginning;
  };

  /** Sends more of the input; returns whether the caller can go on. */
  bool SendSome(caller& one, const caller_input& input);
  void Disconnect(caller& one);

  std::vector<caller> callers_;
};

/** Peak resident memory of a process in KiB; 0 if it doesn't run. */
std::size_t PeakMemoryKb(int pid);
/** Number of open descriptors of a process. */
std::size_t OpenDescriptors(int pid);

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_RAW_CALLERS_H_
