#ifndef LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_
#define LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_

#include <string_view>

#include "libwisteriaroute/gateway/messages.h"
#include "libwisteriaroute/net/http_server.h"

namespace wisteriaroute::gateway {

/**
 * Names, in lower case, of the headers by which callers, entries and backend
 * servers tell each other about a request.
 */
struct header_names {
  /** Id of the caller's attempt; servers repeat it in their responses. */
  std::string_view request_id;
  /** Milliseconds that the sender waits. */
  std::string_view deadline_ms;
  /** Tokens of the prompt and the most of the answer: `1460,80`. */
  std::string_view token_usage;
  /** Tokens of the answer, as the caller expects. */
  std::string_view expected_output;
  /** Workspace that the key belongs to; never taken from callers. */
  std::string_view workspace;
  /** Id of the server that must run the request, or nobody. */
  std::string_view expected_server;
  std::string_view priority;
  /** Present in each response that is the server's own. */
  std::string_view seal;
  /** Present if the server didn't run the request and never will. */
  std::string_view not_run;
  /** Running and waiting requests and slots of the server: `3,0,8`. */
  std::string_view server_load;
  /** Present, and not 0, in each response of a server that leaves. */
  std::string_view server_leaving;
};

/** Of the product's own stand-ins. */
inline constexpr header_names kNativeHeaders = {
    .request_id = "x-request-id",
    .deadline_ms = "x-request-deadline-ms",
    .token_usage = "x-token-usage",
    .expected_output = "x-expected-output-tokens",
    .workspace = "x-workspace",
    .expected_server = "x-expected-server",
    .priority = "x-request-priority",
    .seal = "x-server-id",
    .not_run = "x-not-run",
    .server_load = "x-server-load",
    .server_leaving = "x-server-leaving"};

/** Reads what a request says. Fields that can't be read count as absent. */
caller_request DecodeRequest(const header_names& names,
                             const net::http_server_request& request);

/** Headers of the request that a backend server gets for an attempt. */
net::http_headers AttemptHeaders(const header_names& names,
                                 const net::http_server_request& request,
                                 const attempt_terms& terms);

response_head DecodeHead(const header_names& names,
                         unsigned status,
                         const net::http_headers& headers);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_
