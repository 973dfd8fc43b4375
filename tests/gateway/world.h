#ifndef TESTS_GATEWAY_WORLD_H_
#define TESTS_GATEWAY_WORLD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

inline constexpr base::time_us kStartUs = 1'000'000'000;

inline config::traffic_set Traffic() {
  config::traffic_set set{.version = 7};
  set.routes = {{.name = "lookup",
                 .host = "shop.example",
                 .path_prefix = "/lookup/",
                 .repeats = config::repetition::kRepeatable,
                 .timeout_ms = 2'000,
                 .max_attempts = 2,
                 .targets = {{.service = "orders"}}},
                {.name = "pay",
                 .host = "shop.example",
                 .path_prefix = "/pay/",
                 .timeout_ms = 2'000,
                 .max_attempts = 2,
                 .targets = {{.service = "orders"}}},
                {.name = "draft",
                 .host = "shop.example",
                 .path_prefix = "/draft/",
                 .repeats = config::repetition::kRepeatable,
                 .streams = true,
                 .resumable = true,
                 .timeout_ms = 8'000,
                 .max_attempts = 2,
                 .targets = {{.service = "orders"}}},
                {.name = "letter",
                 .host = "shop.example",
                 .path_prefix = "/letter/",
                 .streams = true,
                 .timeout_ms = 8'000,
                 .max_attempts = 3,
                 .targets = {{.service = "orders"}}}};
  set.services = {{.name = "orders"}};
  set.workspaces = {
      {.name = "counter", .key_digests = {base::Digest128("key-1")}}};
  return set;
}

inline wire::member_info Server(std::string name,
                                std::uint64_t incarnation = 1) {
  return {.name = std::move(name),
          .role = wire::member_role::kServer,
          .incarnation = incarnation,
          .address = "10.0.0.1:80",
          .backend = {.service = "orders", .slots = 4}};
}

/** A gateway with three servers whose responses the test simulates. */
struct world {
  gateway_state state;
  base::time_us now_us = kStartUs;
  gateway_effects seen;

  world() {
    Do(traffic_published{
        std::make_shared<const config::traffic_index>(Traffic())});
    Do(members_updated{{.changed = {Server("a"), Server("b"), Server("c")}}});
  }

  void Do(const gateway_event& event) {
    for (gateway_effect& effect : Step(state, event, now_us)) {
      seen.push_back(std::move(effect));
    }
  }

  void Ask(exchange_id exchange,
           const std::string& path,
           const std::string& key = "key-1") {
    Do(request_arrived{exchange,
                       {.id = "r" + std::to_string(exchange),
                        .host = "shop.example",
                        .path = path,
                        .key = base::Digest128(key),
                        .deadline_ms = 4'000}});
  }

  template <typename Effect>
  std::vector<Effect> All() const {
    std::vector<Effect> all;
    for (const gateway_effect& effect : seen) {
      if (const auto* one = std::get_if<Effect>(&effect)) {
        all.push_back(*one);
      }
    }
    return all;
  }

  start_attempt LastAttempt() const { return All<start_attempt>().back(); }

  void Head(unsigned status, bool sealed = true, bool events = false) {
    Do(attempt_head{LastAttempt().attempt,
                    {.status = status,
                     .headers = {{"x-seal", "s"}},
                     .sealed = sealed,
                     .event_stream = events}});
  }
  void Data(const std::string& data) {
    Do(attempt_data{LastAttempt().attempt, data});
  }
  void End(bool ok, bool never_sent = false) {
    Do(attempt_ended{LastAttempt().attempt, ok, never_sent, "cut"});
  }
  std::string Written() const {
    std::string text;
    for (const write_stream& piece : All<write_stream>()) {
      text += piece.data;
    }
    return text;
  }
};

}  // namespace wisteriaroute::gateway

#endif  // TESTS_GATEWAY_WORLD_H_
