// Measures how much entry and agent add to the time to the first token. Sends
// requests at a fixed rate, alternately through an entry and directly to a
// stand-in. Needs the endpoints.json of a running `scripts/demo up DIR`.
//
//   path_bench DIR/endpoints.json [RATE_PER_S] [SECONDS] [RUNS]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::bench {
namespace {

struct endpoints {
  std::vector<std::string> entries;
  std::vector<std::string> engines;
  std::string key;
  std::string model;
};

endpoints ReadEndpoints(std::string_view path) {
  const auto json = nlohmann::json::parse(base::ReadFile(path));
  endpoints result;
  for (const auto& url : json.at("entries")) {
    result.entries.push_back(url);
  }
  for (const auto& standin : json.at("standins")) {
    if (standin.at("mode") == "engine") {
      result.engines.push_back(standin.at("url"));
    }
  }
  result.key = json.at("keys").begin().value();
  result.model = json.at("model");
  return result;
}

struct samples {
  std::vector<base::time_us> first_token_us;
  std::uint64_t failed = 0;
};

class load_run {
 public:
  load_run(const endpoints& where, std::uint32_t rate, std::uint32_t seconds)
      : where_(where),
        total_(rate * seconds),
        client_(loop_),
        send_(loop_.ev(), [this] { SendNext(); }) {
    send_.Start(0, 1'000'000 / rate);
  }

  void Run() { loop_.Run(); }

  samples direct;
  samples routed;

 private:
  void SendNext() {
    if (sent_ == total_) {
      send_.Stop();
      return;
    }
    const bool through_entry = sent_ % 2 == 0;
    const std::uint64_t turn = sent_ / 2;
    ++sent_;
    const auto& urls = through_entry ? where_.entries : where_.engines;
    samples& into = through_entry ? routed : direct;
    const base::time_us start = base::MonotonicUs();
    // Each prompt is unique, so no request has a prefix cache hit.
    const std::string body =
        R"({"model":")" + where_.model + R"(","stream":true,"max_tokens":4,)" +
        R"("messages":[{"role":"user","content":"request )" +
        std::to_string(sent_) + " " + std::to_string(start) + R"("}]})";
    auto first = std::make_shared<base::time_us>(0);
    client_.Start(
        {.method = "POST",
         .url = urls[turn % urls.size()] + "/v1/chat/completions",
         .headers = {{"Authorization", "Bearer " + where_.key},
                     {"Content-Type", "application/json"}},
         .body = body,
         .timeout_ms = 10'000},
        {.on_data =
             [first, start](std::string_view data) {
               if (*first == 0 && data.find("data: {") != data.npos) {
                 *first = base::MonotonicUs() - start;
               }
             },
         .on_done =
             [this, first, &into](const net::http_client_result& result) {
               if (result.ok && result.status == 200 && *first > 0) {
                 into.first_token_us.push_back(*first);
               } else {
                 ++into.failed;
               }
               if (++done_ == total_) {
                 loop_.Stop();
               }
             }});
  }

  endpoints where_;
  std::uint64_t total_;
  std::uint64_t sent_ = 0;
  std::uint64_t done_ = 0;
  net::loop loop_;
  net::http_client client_;
  net::timer send_;
};

double QuantileMs(std::vector<base::time_us> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return static_cast<double>(values[static_cast<std::size_t>(
             q * static_cast<double>(values.size() - 1))]) /
         1'000;
}

void PrintSpread(const char* name, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  std::printf("%s: min %.2f, median %.2f, max %.2f ms\n", name, values.front(),
              values[values.size() / 2], values.back());
}

}  // namespace
}  // namespace wisteriaroute::bench

int main(int argc, char** argv) {
  using namespace wisteriaroute::bench;
  if (argc < 2) {
    std::fprintf(stderr,
                 "usage: path_bench ENDPOINTS [RATE] [SECONDS] [RUNS]\n");
    return 2;
  }
  const auto number = [&](int index, std::uint32_t fallback) {
    return argc > index ? static_cast<std::uint32_t>(
                              std::strtoul(argv[index], nullptr, 10))
                        : fallback;
  };
  const endpoints where = ReadEndpoints(argv[1]);
  std::vector<double> added_median;
  std::vector<double> added_p95;
  for (std::uint32_t run = 0; run < number(4, 5); ++run) {
    // Half of the requests go directly to a stand-in, so twice the rate puts
    // the requested rate on the path through an entry.
    load_run load(where, number(2, 200) * 2, number(3, 5));
    load.Run();
    const auto& routed = load.routed.first_token_us;
    const auto& direct = load.direct.first_token_us;
    added_median.push_back(QuantileMs(routed, 0.5) - QuantileMs(direct, 0.5));
    added_p95.push_back(QuantileMs(routed, 0.95) - QuantileMs(direct, 0.95));
    std::printf(
        "run %u: direct p50 %.2f p95 %.2f, routed p50 %.2f p95 %.2f ms, "
        "failed %llu and %llu\n",
        run, QuantileMs(direct, 0.5), QuantileMs(direct, 0.95),
        QuantileMs(routed, 0.5), QuantileMs(routed, 0.95),
        static_cast<unsigned long long>(load.direct.failed),
        static_cast<unsigned long long>(load.routed.failed));
  }
  PrintSpread("added at the median", added_median);
  PrintSpread("added at p95", added_p95);
  return 0;
}
