#ifndef CONTROL_HTTP_API_H_
#define CONTROL_HTTP_API_H_

#include <functional>
#include <limits>
#include <string>
#include <variant>

#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A call that is answered without asking the replicated state. */
struct api_refusal {
  unsigned status = 400;
  std::string code;
  std::string message;
};

/** What operators and backend servers may ask over HTTP. */
using api_call = std::variant<wire::publish_document,
                              wire::get_document,
                              wire::report_server,
                              api_refusal>;

/** Reads a call in the format that the deployment speaks. Never throws. */
using api_decoder = std::function<api_call(const net::http_server_request&)>;

/**
 * Number that stands for the HTTP server among the links of the reducer; the
 * correlation of its requests is the exchange.
 */
inline constexpr net::link_id kHttpLink =
    std::numeric_limits<net::link_id>::max();

}  // namespace wisteriaroute::control

#endif  // CONTROL_HTTP_API_H_
