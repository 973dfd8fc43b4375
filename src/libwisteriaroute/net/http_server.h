#ifndef LIBWISTERIAROUTE_NET_HTTP_SERVER_H_
#define LIBWISTERIAROUTE_NET_HTTP_SERVER_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/net/http_message.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/memory_budget.h"

namespace wisteriaroute::net {

/** Identifies a request and its response within a server; never reused. */
using exchange_id = std::uint64_t;

/** A completely received request. */
struct http_server_request {
  std::string method;
  /** Path without the query, as sent. */
  std::string path;
  /** Query with its leading `?`, or empty. */
  std::string query;
  /** Names in lower case. */
  http_headers headers;
  std::string body;

  /** Returns the value of a header by its lower-case name, or empty. */
  std::string_view Header(std::string_view name) const;
};

/** Bytes that a request holds until it is answered, with its copies. */
std::size_t HeldBytes(const http_server_request& request);

struct http_server_limits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  /** Limit for all requests being received; those beyond it get 503. */
  std::size_t total_body_bytes = 64 * 1024 * 1024;
  unsigned connections = 4'096;
  /** Limit for requests in progress; those beyond it get 503. */
  unsigned requests = 4'096;
  /** Size of a connection's socket buffers; 0: as the system decides. */
  std::size_t socket_bytes = 0;
  /** Time limit for receiving a request, including its body; then 408. */
  base::time_ms header_timeout_ms = 60'000;
  base::time_ms idle_timeout_ms = 60'000;
  /** A connection is closed when output has waited for its caller this long. */
  base::time_ms send_timeout_ms = 60'000;
};

struct http_server_callbacks {
  /** The owner must call Respond or StartStream, now or later. */
  std::function<void(exchange_id, http_server_request)> on_request;
  /** The connection was lost before the response was complete. */
  std::function<void(exchange_id)> on_abandoned;
  /** Returns the body of the 413 response to an oversized request. */
  std::function<std::string()> too_large_body;
  /** Returns the body of the 503 response to a request that isn't taken. */
  std::function<std::string()> overload_body;
  /** Much of a stream is unsent; on_drained follows, unless it ends before. */
  std::function<void(exchange_id)> on_blocked;
  std::function<void(exchange_id)> on_drained;
};

/**
 * HTTP/1.1 server on the process's event loop. Not thread-safe.
 *
 * With a budget, which must outlive the server: above it, the connections whose
 * output has waited longest are closed, and new requests get 503.
 */
class http_server {
 public:
  http_server(loop& event_loop,
              http_server_limits limits,
              http_server_callbacks callbacks,
              memory_budget* budget = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /** Listens on `IP:port`; port 0 picks a free port. Returns the address. */
  std::string Listen(std::string_view address);

  /** Stops accepting connections; exchanges in progress continue. */
  void StopListening();

  /** Sets the limits of requests that begin later. */
  void SetLimits(const http_server_limits& limits);

  /** Counts the output of the exchange's connection for a workspace. */
  void SetWorkspace(exchange_id id, std::string_view workspace);

  /** Closes slow connections until what is held fits the budget; returns
   * whether it fits, or exceeds it by less than a quarter. */
  bool MakeRoom();

  /** Makes each later response close its connection. */
  void CloseAfterResponses() { closing_ = true; }
  /** Closes connections without a request, even a partially received one. */
  void CloseIdle();

  /** Answers requests that are partly received with 503, and closes their
   * connections. */
  void RefuseIncomplete();

  /** Sends a complete response. This and the calls below ignore unknown ids. */
  void Respond(exchange_id id,
               unsigned status,
               const http_headers& headers,
               std::string_view body);

  /** Starts a chunked response. */
  void StartStream(exchange_id id,
                   unsigned status,
                   const http_headers& headers);
  /** Appends data to a stream. */
  void Write(exchange_id id, std::string_view data);
  /** Completes a stream. */
  void EndStream(exchange_id id);
  /** Closes the connection, so the caller sees an incomplete response. */
  void AbortStream(exchange_id id);

  /** Bytes of a stream that were not yet passed to the socket. */
  std::size_t BufferedBytes(exchange_id id) const;

  std::size_t exchange_count() const { return exchanges_.size(); }
  std::size_t connection_count() const { return connections_.size(); }
  /** Totals since the start, for metrics. */
  std::uint64_t slow_callers_closed() const { return slow_callers_closed_; }
  std::uint64_t refused_inputs() const { return refused_inputs_; }
  std::uint64_t evicted_connections() const { return evicted_connections_; }

 private:
  struct connection;
  using connection_id = std::uint64_t;

  void Accept();
  void HandleReadable(connection& conn);
  void Parse(connection& conn);
  void Dispatch(connection& conn);
  /** Responds to a request that can't be received; closes its connection. */
  void RefuseInput(connection& conn, unsigned status, std::string_view cause);
  void WriteHead(connection& conn,
                 unsigned status,
                 const http_headers& headers);
  void Flush(connection& conn);
  void UpdateWatcher(connection& conn);
  void FinishExchange(connection& conn);
  void HandleAllSent(connection& conn);
  /** Updates the time for which output has been waiting. */
  static void NoteProgress(connection& conn, std::size_t sent_bytes);
  void NotifyBlocked(connection& conn);
  void ContinueLater(connection& conn);
  void StartLinger(connection& conn);
  void Destroy(connection& target);
  void Sweep();

  // Limits over all connections (http_server_guard.cc).

  static void AccountInput(connection& conn);
  /** May close connections, also this one. */
  void AccountOutput(connection& conn);
  /** Closes slow connections and refuses large requests that are being
   * received until the budget has room for `needed_bytes`; returns whether it
   * has. */
  bool FreeMemory(std::size_t needed_bytes);
  /** Returns whether there was a large one. */
  bool RefuseLargestInput();
  /** Closes the connection (of a workspace, unless null) whose output has
   * waited longest; returns whether there was a slow one. */
  bool CloseSlowest(const std::string* workspace);
  void CloseSlow(connection& conn, std::string_view cause);
  /** Returns whether the connection may go on to receive its request. */
  bool AdmitInput(connection& conn);
  bool AdmitRequest(const http_server_request& request);
  /** Closes the oldest connection without a request that has had no answer but
   * errors; returns whether there was one. */
  bool EvictUnserved();
  void RunDeferred();
  connection* Find(exchange_id id);

  loop& event_loop_;
  http_server_limits limits_;
  http_server_callbacks callbacks_;
  memory_budget* budget_;
  int listen_fd_ = -1;
  ev_io listen_watcher_;
  timer sweep_;
  /** Runs work that must not run within a callback of a connection. */
  timer later_;
  bool closing_ = false;
  /** No descriptor was free; accepting goes on with the next sweep. */
  bool accept_paused_ = false;
  std::uint64_t slow_callers_closed_ = 0;
  std::uint64_t refused_inputs_ = 0;
  std::uint64_t evicted_connections_ = 0;
  std::size_t body_bytes_ = 0;
  exchange_id next_exchange_ = 1;
  connection_id next_connection_ = 1;
  std::map<connection_id, std::unique_ptr<connection>> connections_;
  /** Connections with input of a pipelined request. */
  std::vector<connection_id> pipelined_connections_;
  /** Freed by the timer, when none of their callbacks can be running. */
  std::vector<std::unique_ptr<connection>> closed_;
  std::map<exchange_id, connection_id> exchanges_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_SERVER_H_
