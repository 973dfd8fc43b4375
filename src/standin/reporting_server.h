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
  /** `IP:port` of the HTTP calls of the control replicas. */
  std::vector<std::string> controls;
  std::uint32_t slots = 8;
  base::time_us report_period_us = 300'000;
  /** How long it serves after its leaving was acknowledged. */
  base::time_us leave_delay_us = 1'000'000;
};

/** What `POST /standin/faults` has asked for; each is a number of requests. */
struct reporting_faults {
  /** Refused as not run. */
  std::uint64_t refuse = 0;
  /** Run, but the connection is cut instead of an answer. */
  std::uint64_t lose_answer = 0;
  /** Answered without the server's seal. */
  std::uint64_t unsealed = 0;
  /** Answered 500 after a run. */
  std::uint64_t fail = 0;
  /** Streams cut in the middle of an event, after `cut_after` events. */
  std::uint64_t cut_streams = 0;
  std::uint64_t cut_after = 3;
  /** Streams that go silent after `cut_after` events. */
  std::uint64_t mute_streams = 0;
  /** Not a number of requests: all answers say that the server leaves. */
  std::uint64_t leave_by_header = 0;
  /** `Retry-After` of the requests that are refused; empty: none. */
  std::string pause;
};

/**
 * A backend server without an agent, for tests of the gateway: reports itself
 * to control and speaks the native protocol. A request says with
 * `x-work-ms` how long it takes, and with `x-events` and `x-gap-ms` that its
 * answer is a stream. `GET /standin/runs` tells what has run.
 */
class reporting_server {
 public:
  reporting_server(net::loop& event_loop, reporting_settings settings);

  /** Returns the address that is listened on. */
  std::string Listen(std::string_view address);

  /** Reports that it leaves, serves on for a while and ends the loop. */
  void Leave();

 private:
  /** A request that runs. */
  struct run {
    std::string request_id;
    std::string body;
    std::uint64_t next_event = 1;
    std::uint64_t last_event = 0;
    base::time_us gap_us = 0;
    bool streams = false;
    bool started = false;
    bool sealed = true;
    bool lose_answer = false;
    bool fail = false;
    bool cut = false;
    bool mute = false;
    std::unique_ptr<net::timer> timer;
  };

  void Handle(net::exchange_id id, const net::http_server_request& request);
  void Begin(net::exchange_id id, const net::http_server_request& request);
  void Proceed(net::exchange_id id);
  void ProceedStream(net::exchange_id id, run& of);
  void End(net::exchange_id id);
  void NotRun(net::exchange_id id,
              const net::http_server_request& request,
              unsigned status);
  void SetFaults(const std::string& body);
  nlohmann::json Runs() const;
  net::http_headers Headers(const run& of) const;
  void Report();
  void Call(const std::string& method,
            const std::string& url,
            int redirects_left);

  net::loop& loop_;
  reporting_settings settings_;
  net::http_server http_;
  net::http_client client_;
  net::timer report_;
  net::timer leave_;
  std::string address_;
  std::uint64_t started_ms_;
  std::uint64_t sequence_ = 0;
  std::size_t next_control_ = 0;
  bool leaving_ = false;
  bool leave_acknowledged_ = false;
  bool gone_ = false;
  reporting_faults faults_;
  std::map<net::exchange_id, run> running_;
  /** Runs by request id. */
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t abandoned_ = 0;
  /** Requests that have come since the last change of faults. */
  std::uint64_t arrived_ = 0;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_REPORTING_SERVER_H_
