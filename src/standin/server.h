#ifndef STANDIN_SERVER_H_
#define STANDIN_SERVER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/loop.h"
#include "standin/engine.h"
#include "standin/plain_service.h"
#include "standin/rank.h"

namespace wisteriaroute::standin {

struct server_settings {
  bool plain = false;
  std::string model = "standin";
  engine_settings engine;
  /** The rank behind `/group` and `/orders`, also if `rank.group` is empty. */
  rank_settings rank;
  /** Age of the sample that `GET /load` reports. */
  base::time_us load_lag_us = 200'000;
  /** Age at which `GET /cache/events` shows an event. */
  base::time_us cache_lag_us = 500'000;
  /** Every n-th cache event is omitted, as if lost; 0: none. */
  std::uint64_t cache_gap_every = 0;
  /** Delay of the response to a booking. */
  base::time_us booking_time_us = 0;
  /** Initial value of `fault_state::crash_marker`. */
  std::string crash_marker;
};

/** Faults that `POST /faults` has set; counts go down to 0. */
struct fault_state {
  /** The process exits on a request whose body contains this; empty: never. */
  std::string crash_marker;
  /** Delay before a request is executed. */
  base::time_us delay_us = 0;
  /** Work requests whose connection is closed before they are executed. */
  std::uint64_t drop_before = 0;
  /** Bookings whose connection is closed after they are executed. */
  std::uint64_t drop_after = 0;
  /** Streams that send invalid events after the first token. */
  std::uint64_t malformed_streams = 0;
  /** Streams that stay open but send nothing after three tokens. */
  std::uint64_t silent_streams = 0;
};

/** HTTP server of the modes `engine` and `plain`. */
class server {
 public:
  server(net::loop& event_loop, server_settings settings);

  /** Starts to serve; returns the bound `IP:port`. */
  std::string Listen(std::string_view address);

 private:
  struct stream {
    generation_request request;
    std::string text;
    bool malformed = false;
    bool silent = false;
    std::uint64_t sent_tokens = 0;
  };

  void Handle(net::exchange_id id, const net::http_server_request& request);
  void Dispatch(net::exchange_id id, const net::http_server_request& request);
  bool DispatchEngine(net::exchange_id id,
                      const net::http_server_request& request);
  void Generate(net::exchange_id id,
                const net::http_server_request& request,
                const nlohmann::json& body);
  void SendToken(generation_id id,
                 std::uint64_t index,
                 const std::string& text);
  void SendEnd(generation_id id, const nlohmann::json& usage);
  void HandleAbandoned(net::exchange_id id);
  void Reply(net::exchange_id id, unsigned status, const nlohmann::json& body);
  void DropConnection(net::exchange_id id);
  void SetFaults(net::exchange_id id, const nlohmann::json& body);
  nlohmann::json Load() const;
  nlohmann::json CacheEvents(std::string_view query);
  void Tick();

  net::loop& event_loop_;
  server_settings settings_;
  fault_state faults_;
  /** Random id of this process, reported by `/health`. */
  std::string instance_;
  engine engine_;
  rank rank_;
  plain_service plain_;
  std::map<net::exchange_id, stream> streams_;
  std::deque<engine_load> load_samples_;
  base::time_us next_step_us_ = 0;
  net::timer tick_;
  net::http_server http_;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_SERVER_H_
