#include "libwisteriaroute/net/http_client.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace wisteriaroute::net {

namespace {

// Idle connections that are kept for reuse.
constexpr long kMaxIdleConnections = 64;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string_view TrimSpace(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace

struct http_client::transfer {
  http_client* client = nullptr;
  transfer_id id = 0;
  http_client_request request;
  http_client_callbacks callbacks;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  http_headers response_headers;
  bool head_reported = false;
  bool cancelled = false;

  ~transfer() {
    curl_easy_cleanup(easy);
    curl_slist_free_all(header_list);
  }

  void ReportHead() {
    if (head_reported) {
      return;
    }
    head_reported = true;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (callbacks.on_head && !cancelled) {
      callbacks.on_head(static_cast<unsigned>(status), response_headers);
    }
  }
};

http_client::http_client(loop& event_loop)
    : event_loop_(event_loop),
      multi_(curl_multi_init()),
      timer_(event_loop.ev(),
             [this] { SocketAction(CURL_SOCKET_TIMEOUT, 0); }) {
  if (multi_ == nullptr) {
    throw std::runtime_error("can't initialize curl");
  }
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &HandleSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &HandleTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

http_client::~http_client() {
  for (const auto& [id, target] : transfers_) {
    curl_multi_remove_handle(multi_, target->easy);
  }
  transfers_.clear();
  curl_multi_cleanup(multi_);
  for (const auto& [fd, socket] : sockets_) {
    ev_io_stop(event_loop_.ev(), &socket->watcher);
  }
}

transfer_id http_client::Start(http_client_request request,
                               http_client_callbacks callbacks) {
  auto owned = std::make_unique<transfer>();
  transfer& target = *owned;
  target.client = this;
  target.id = next_id_++;
  target.request = std::move(request);
  target.callbacks = std::move(callbacks);
  target.easy = curl_easy_init();
  const http_client_request& wanted = target.request;
  for (const auto& [name, value] : wanted.headers) {
    target.header_list = curl_slist_append(
        target.header_list,
        (name + (value.empty() ? ";" : ": " + value)).c_str());
  }
  // Without this curl waits a second for 100 Continue before large bodies.
  target.header_list = curl_slist_append(target.header_list, "Expect:");
  CURL* easy = target.easy;
  curl_easy_setopt(easy, CURLOPT_URL, wanted.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, target.header_list);
  if (wanted.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!wanted.body.empty() || wanted.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(wanted.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, wanted.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, wanted.method.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  if (!wanted.reuse_connection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(wanted.connect_timeout_ms));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(wanted.timeout_ms));
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HandleHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &target);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HandleData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &target);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &target);
  const transfer_id id = target.id;
  transfers_[id] = std::move(owned);
  curl_multi_add_handle(multi_, easy);
  return id;
}

void http_client::Cancel(transfer_id id) {
  auto node = transfers_.extract(id);
  if (node.empty()) {
    return;
  }
  // The caller may run in one of the callbacks, so they must live on.
  node.mapped()->cancelled = true;
  // curl forbids removing a transfer inside one of its callbacks.
  event_loop_.Defer(
      [this, dead = std::shared_ptr<transfer>(std::move(node.mapped()))] {
        curl_multi_remove_handle(multi_, dead->easy);
      });
}

int http_client::HandleSocket(CURL*,
                              curl_socket_t fd,
                              int what,
                              void* self,
                              void*) {
  auto* client = static_cast<http_client*>(self);
  auto& slot = client->sockets_[fd];
  if (slot != nullptr) {
    ev_io_stop(client->event_loop_.ev(), &slot->watcher);
  }
  if (what == CURL_POLL_REMOVE) {
    client->sockets_.erase(fd);
    return 0;
  }
  if (slot == nullptr) {
    slot = std::make_unique<socket_watcher>();
    slot->client = client;
  }
  const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_init(
      &slot->watcher,
      [](struct ev_loop*, ev_io* watcher, int ready) {
        const int action = ((ready & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                           ((ready & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
        static_cast<socket_watcher*>(watcher->data)
            ->client->SocketAction(watcher->fd, action);
      },
      fd, events);
  slot->watcher.data = slot.get();
  ev_io_start(client->event_loop_.ev(), &slot->watcher);
  return 0;
}

int http_client::HandleTimer(CURLM*, long timeout_ms, void* self) {
  auto* client = static_cast<http_client*>(self);
  if (timeout_ms < 0) {
    client->timer_.Stop();
  } else {
    // Never call curl back from inside this callback: 0 becomes "soon".
    client->timer_.Start(std::max(timeout_ms * 1'000, 1L));
  }
  return 0;
}

std::size_t http_client::HandleHeader(char* data,
                                      std::size_t size,
                                      std::size_t count,
                                      void* context) {
  auto& target = *static_cast<transfer*>(context);
  const std::string_view line(data, size * count);
  if (line.starts_with("HTTP/")) {
    target.response_headers.clear();
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    target.response_headers.emplace_back(
        LowerCase(line.substr(0, colon)),
        std::string(TrimSpace(line.substr(colon + 1))));
  }
  return size * count;
}

std::size_t http_client::HandleData(char* data,
                                    std::size_t size,
                                    std::size_t count,
                                    void* context) {
  auto& target = *static_cast<transfer*>(context);
  target.ReportHead();
  if (target.callbacks.on_data && !target.cancelled) {
    target.callbacks.on_data({data, size * count});
  }
  return size * count;
}

void http_client::SocketAction(curl_socket_t fd, int events) {
  int running = 0;
  curl_multi_socket_action(multi_, fd, events, &running);
  CollectDone();
}

void http_client::CollectDone() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    transfer* target = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
    Finish(target->id, code);
  }
}

void http_client::Finish(transfer_id id, CURLcode code) {
  auto node = transfers_.extract(id);
  if (node.empty()) {
    return;
  }
  const std::unique_ptr<transfer> target = std::move(node.mapped());
  http_client_result result;
  result.ok = code == CURLE_OK;
  long status = 0;
  curl_easy_getinfo(target->easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<unsigned>(status);
  curl_off_t connect_us = 0;
  curl_easy_getinfo(target->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  const bool no_connection =
      code == CURLE_COULDNT_CONNECT ||
      (code == CURLE_OPERATION_TIMEDOUT && connect_us == 0);
  result.never_sent = no_connection && !target->request.reuse_connection;
  if (!result.ok) {
    result.error = curl_easy_strerror(code);
  } else {
    target->ReportHead();
  }
  curl_multi_remove_handle(multi_, target->easy);
  if (target->callbacks.on_done) {
    target->callbacks.on_done(result);
  }
}

}  // namespace wisteriaroute::net
