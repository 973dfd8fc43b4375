#ifndef LIBWISTERIAROUTE_AGENT_ENGINE_CLIENT_H_
#define LIBWISTERIAROUTE_AGENT_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "libwisteriaroute/agent/events.h"
#include "libwisteriaroute/agent/sse_parser.h"
#include "libwisteriaroute/net/http_client.h"

namespace wisteriaroute::agent {

struct engine_client_options {
  /** `http://IP:port` without a path. */
  std::string backend_url;
  std::string health_path = "/health";
  /** The backend server speaks the engine protocol. */
  bool engine = false;
};

/** Sends the reducer's requests, polls and orders to the backend server. */
class engine_client {
 public:
  engine_client(net::loop& event_loop,
                engine_client_options options,
                std::function<void(agent_event)> on_event);

  /** Sends a request. Its events follow through `on_event`. */
  void Start(const start_call& effect);
  /** Ends a call; no event for it follows. */
  void Cancel(const cancel_call& effect);
  void Poll(const poll_backend& effect);
  void ForwardOrder(const forward_order& effect);

 private:
  /** A request in progress. */
  struct call {
    wire::attempt_id attempt;
    net::transfer_id transfer = 0;
    bool stream = false;
    bool done = false;
    sse_parser parser;
    call_finished finished;
  };
  using body_handler =
      std::function<void(const net::http_client_result&, const std::string&)>;

  net::http_client_request RequestFor(const start_call& effect) const;
  void HandleHead(call& target, unsigned status, const net::http_headers&);
  void HandleData(const std::shared_ptr<call>& target, std::string_view data);
  void HandleDone(const std::shared_ptr<call>& target,
                  const net::http_client_result& result);
  /** Ends the call because its response violates the protocol. */
  void FailMalformed(const std::shared_ptr<call>& target);
  /** Ends the transfer; it raises no further event for this call. */
  void CloseCall(const std::shared_ptr<call>& target);
  /** Sends a request and passes the collected body to `handler`, if any. */
  void Fetch(net::http_client_request request, const body_handler& handler);

  net::http_client http_;
  engine_client_options options_;
  std::function<void(agent_event)> on_event_;
  std::unordered_map<wire::attempt_id, std::shared_ptr<call>> calls_;
};

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_ENGINE_CLIENT_H_
