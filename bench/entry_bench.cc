// Measures the entry's reducer on one core: token chunks, whole requests and
// routing decisions, without sockets, links and HTTP.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/entry/step.h"
#include "libwisteriaroute/policy/routing.h"

namespace wisteriaroute::entry {

namespace {

constexpr int kRepetitions = 7;
constexpr net::link_id kLink = 1;
constexpr base::time_us kStartUs = 1'000'000;

entry_state ReadyState() {
  config::object_set set;
  set.models["m"] = {.name = "m"};
  set.workspaces["w"] = {.name = "w",
                         .key_digests = {base::Sha256Hex("secret")},
                         .models = {"m"},
                         .max_concurrency = 1'000'000,
                         .tokens_per_minute = 1'000'000'000'000};
  entry_state state;
  Step(state,
       configuration_applied{std::make_shared<config::object_set>(set), 1}, 0);
  Step(state, lease_extended{1'000'000'000'000'000}, 0);
  wire::member_update members{.full = true};
  members.changed.push_back({.name = "a",
                             .role = wire::member_role::kAgent,
                             .address = "127.0.0.1:1",
                             .backend = {.models = {"m"}}});
  Step(state, control_received{members}, 0);
  Step(state, agent_link_up{kLink, "a"}, 0);
  Step(state,
       work_received{
           kLink,
           wire::agent_state{.name = "a", .healthy = true, .accepting = true}},
       0);
  return state;
}

http_received Request(net::exchange_id exchange) {
  net::http_server_request http{.method = "POST",
                                .path = "/v1/chat/completions"};
  http.headers = {{"authorization", "Bearer secret"},
                  {"content-type", "application/json"}};
  http.body = R"({"model":"m","stream":true,"max_tokens":1000000,"messages":[)"
              R"({"role":"user","content":"When will my wash be ready?"}]})";
  return {exchange, std::move(http), 0, exchange};
}

/** Gives the reducer a request; returns the attempt that it submits. */
wire::attempt_id Submit(entry_state& state, net::exchange_id exchange) {
  for (const entry_effect& effect : Step(state, Request(exchange), kStartUs)) {
    if (const auto* work = std::get_if<send_work>(&effect)) {
      return std::get<wire::submit>(work->message).attempt;
    }
  }
  throw std::logic_error("the request was not submitted");
}

work_received Chunk(const wire::attempt_id& attempt, std::uint64_t offset) {
  return {kLink, wire::chunk{attempt, offset, 1, " token"}};
}

void Statistics(benchmark::internal::Benchmark* of) {
  of->Repetitions(kRepetitions)
      ->ReportAggregatesOnly(true)
      ->ComputeStatistics("min",
                          [](const std::vector<double>& v) {
                            return *std::min_element(v.begin(), v.end());
                          })
      ->ComputeStatistics("max", [](const std::vector<double>& v) {
        return *std::max_element(v.begin(), v.end());
      });
}

void TokenChunks(benchmark::State& bench) {
  entry_state state = ReadyState();
  std::vector<wire::attempt_id> attempts;
  const auto streams = static_cast<std::size_t>(bench.range(0));
  for (std::size_t i = 0; i < streams; ++i) {
    attempts.push_back(Submit(state, i + 1));
    Step(state, work_received{kLink, wire::head{attempts.back(), 200, {}}},
         kStartUs);
  }
  std::uint64_t sent = 0;
  for (auto _ : bench) {
    benchmark::DoNotOptimize(
        Step(state, Chunk(attempts[sent % streams], sent / streams), kStartUs));
    ++sent;
  }
  bench.SetItemsProcessed(bench.iterations());
}
BENCHMARK(TokenChunks)->Arg(1)->Arg(32)->Apply(Statistics);

/** Like TokenChunks, and decodes each chunk from its wire format. */
void DecodedTokenChunks(benchmark::State& bench) {
  entry_state state = ReadyState();
  const wire::attempt_id attempt = Submit(state, 1);
  Step(state, work_received{kLink, wire::head{attempt, 200, {}}}, kStartUs);
  std::uint64_t sent = 0;
  for (auto _ : bench) {
    bench.PauseTiming();
    const std::string bytes = wire::Encode(Chunk(attempt, sent++).message);
    bench.ResumeTiming();
    benchmark::DoNotOptimize(
        Step(state, work_received{kLink, wire::DecodeWork(bytes)}, kStartUs));
  }
  bench.SetItemsProcessed(bench.iterations());
}
BENCHMARK(DecodedTokenChunks)->Apply(Statistics);

/** A streamed request of one token, from its arrival to its finish. */
void WholeRequests(benchmark::State& bench) {
  entry_state state = ReadyState();
  net::exchange_id exchange = 1;
  for (auto _ : bench) {
    const wire::attempt_id attempt = Submit(state, exchange++);
    Step(state, work_received{kLink, wire::head{attempt, 200, {}}}, kStartUs);
    Step(state, Chunk(attempt, 0), kStartUs);
    benchmark::DoNotOptimize(Step(
        state,
        work_received{kLink, wire::finish{.attempt = attempt, .end_offset = 1}},
        kStartUs));
  }
  bench.SetItemsProcessed(bench.iterations());
}
BENCHMARK(WholeRequests)->Apply(Statistics);

void RoutingDecision(benchmark::State& bench) {
  std::vector<policy::routing_candidate> candidates;
  for (std::uint32_t i = 0; i < bench.range(0); ++i) {
    candidates.push_back({.reported_queued = i % 3,
                          .reported_running = i % 17,
                          .slots = 32,
                          .step_time_us = 15'000 + i % 5'000,
                          .in_flight = i % 7,
                          .same_data_center = i % 3 == 0,
                          .same_region = true});
  }
  std::uint64_t random = 1;
  for (auto _ : bench) {
    benchmark::DoNotOptimize(policy::Choose(
        candidates, {.prompt_tokens = 400, .expected_tokens = 200}, random++));
  }
}
BENCHMARK(RoutingDecision)->Arg(15)->Arg(300)->Arg(2'300)->Apply(Statistics);

}  // namespace

}  // namespace wisteriaroute::entry

BENCHMARK_MAIN();
