#ifndef LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_
#define LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_

#include <string_view>

#include "libwisteriaroute/gateway/messages.h"
#include "libwisteriaroute/net/http_server.h"

namespace wisteriaroute::gateway {

/**
 * Names, in lower case, of the HTTP headers that callers, entries and backend
 * servers use to exchange information about a request.
 */
struct header_names {
  /** Id of the caller's attempt; servers return it in their responses. */
  std::string_view request_id;
  /** How long the sender waits, in milliseconds. */
  std::string_view deadline_ms;
  /** Tokens of the prompt and maximum tokens of the output: `1460,80`. */
  std::string_view token_usage;
  /** Tokens of the output that the caller expects. */
  std::string_view expected_output;
  /** Parts of the prompt in order, each as id and tokens: `5c1e:800,91bd:410`.
   */
  std::string_view prompt_parts;
  /** Workspace of the caller's key; removed from callers' requests. */
  std::string_view workspace;
  /** Id of the only server that may run the request. */
  std::string_view expected_server;
  std::string_view priority;
  /** Present in every response that the server itself produced. */
  std::string_view seal;
  /** Present if the server didn't run the request and never will run it. */
  std::string_view not_run;
  /** Running and waiting requests and slots of the server: `3,0,8`. */
  std::string_view server_load;
  /** Present, and not 0, in every response of a server that is leaving. */
  std::string_view server_leaving;
  /** The server that is the reason for a status of 421 or 503. */
  std::string_view server_at_fault;
  /** How long the server stays cold, in milliseconds. */
  std::string_view cold_left_ms;
};

/** Header names of the project's own stand-in servers. */
inline constexpr header_names kNativeHeaders = {
    .request_id = "x-request-id",
    .deadline_ms = "x-request-deadline-ms",
    .token_usage = "x-token-usage",
    .expected_output = "x-expected-output-tokens",
    .prompt_parts = "x-prompt-parts",
    .workspace = "x-workspace",
    .expected_server = "x-expected-server",
    .priority = "x-request-priority",
    .seal = "x-server-id",
    .not_run = "x-not-run",
    .server_load = "x-server-load",
    .server_leaving = "x-server-leaving",
    .server_at_fault = "x-server-at-fault",
    .cold_left_ms = "x-cold-left-ms"};

/** Decodes a caller's request. Invalid fields count as absent. */
caller_request DecodeRequest(const header_names& names,
                             const net::http_server_request& request);

/** Headers of the request that is sent to a backend server for an attempt. */
net::http_headers AttemptHeaders(const header_names& names,
                                 const net::http_server_request& request,
                                 const attempt_terms& terms);

/** Decodes the status and headers of a backend server's response. */
response_head DecodeHead(const header_names& names,
                         unsigned status,
                         const net::http_headers& headers);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_HTTP_CODEC_H_
