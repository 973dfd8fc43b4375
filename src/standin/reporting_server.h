#ifndef STANDIN_REPORTING_SERVER_H_
#define STANDIN_REPORTING_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::standin {

struct reporting_settings {
  std::string id;
  std::string service;
  std::string data_center;
  /** HTTP addresses (`IP:port`) of the control replicas. */
  std::vector<std::string> controls;
  std::uint32_t slots = 8;
  base::time_us report_period_us = 300'000;
  /** How long it serves after control has accepted its deregistration. */
  base::time_us leave_delay_us = 1'000'000;
  /** The process exits when it begins to answer a prompt with this shared part;
   * empty: never. */
  std::string crash_part;
};

/** Faults that `POST /standin/faults` has set, as remaining requests. */
struct reporting_faults {
  /** Refused with 503 and the header that says that they did not run. */
  std::uint64_t refuse = 0;
  /** Executed, but the connection is closed instead of a response. */
  std::uint64_t lose_answer = 0;
  /** Executed, but the response lacks the seal header. */
  std::uint64_t unsealed = 0;
  /** Executed, then answered with 500. */
  std::uint64_t fail = 0;
  /** Streams closed in the middle of an event, after event `cut_after`. */
  std::uint64_t cut_streams = 0;
  std::uint64_t cut_after = 3;
  /** Streams that stay open but send nothing after event `cut_after`. */
  std::uint64_t mute_streams = 0;
  /** A flag, not a count: all responses carry the server-leaving header. */
  std::uint64_t leave_by_header = 0;
  /** `Retry-After` of refused requests; empty: no such header. */
  std::string pause;
};

/**
 * A backend server without an agent, for tests of the gateway. It registers
 * itself with control and speaks the native protocol. Request headers control
 * the response: `x-work-ms` is the execution time; `x-events` asks for a stream
 * of that many events, `x-gap-ms` apart, each padded by `x-event-bytes`; a
 * stream waits while its reader has much to read. `GET /standin/runs` returns
 * how often each request was executed.
 */
class reporting_server {
 public:
  reporting_server(net::loop& event_loop, reporting_settings settings);

  /** Starts to serve and to report to control; returns the bound `IP:port`. */
  std::string Listen(std::string_view address);

  /**
   * Reports to control that it is leaving, deregisters, serves for
   * `leave_delay_us` and stops the loop.
   */
  void Leave();

 private:
  /** A request in progress. */
  struct run {
    std::string request_id;
    std::string body;
    std::uint64_t next_event = 1;
    std::uint64_t last_event = 0;
    base::time_us event_gap_us = 0;
    std::size_t padding_bytes = 0;
    bool is_stream = false;
    bool started = false;
    bool sealed = true;
    bool lose_answer = false;
    bool fail = false;
    bool cut = false;
    bool silent = false;
    bool crash = false;
    std::unique_ptr<net::timer> timer;
  };

  void Handle(net::exchange_id id, const net::http_server_request& request);
  void StartRun(net::exchange_id id, const net::http_server_request& request);
  void ContinueRun(net::exchange_id id);
  void ContinueStream(net::exchange_id id, run& target);
  void EndRun(net::exchange_id id);
  void RespondNotRun(net::exchange_id id,
                     const net::http_server_request& request,
                     unsigned status);
  void SetFaults(const std::string& body);
  nlohmann::json Runs() const;
  net::http_headers ResponseHeaders(const run& target) const;
  void Report();
  void CallControl(const std::string& method,
                   const std::string& url,
                   int redirects_left);

  net::loop& loop_;
  reporting_settings settings_;
  net::http_server http_;
  net::http_client client_;
  net::timer report_timer_;
  net::timer stop_timer_;
  std::string address_;
  std::uint64_t started_ms_;
  std::uint64_t sequence_ = 0;
  std::size_t next_control_ = 0;
  bool leaving_ = false;
  bool leave_acknowledged_ = false;
  bool deregistering_ = false;
  reporting_faults faults_;
  std::map<net::exchange_id, run> running_;
  /** Number of executions by request id. */
  std::map<std::string, std::uint64_t> runs_;
  /** Requests in progress whose connection the caller closed. */
  std::uint64_t abandoned_requests_ = 0;
  /** Requests received since the faults were last set. */
  std::uint64_t received_requests_ = 0;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_REPORTING_SERVER_H_
