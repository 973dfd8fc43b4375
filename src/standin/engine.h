#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/clock.h"
#include "standin/prefix_cache.h"

namespace wisteriaroute::standin {

struct engine_settings {
  std::size_t slots = 16;
  std::size_t queue = 256;
  base::time_us step_time_us = 5'000;
  /** Prefill time of one prompt token that isn't cached. */
  double prefill_us_per_token = 20;
  std::size_t cache_blocks = 4'096;
  std::uint64_t kv_tokens = 200'000;
};

using generation_id = std::uint64_t;

struct generation_request {
  generation_id id = 0;
  std::string attempt_id;
  std::string prompt;
  std::string model;
  bool chat = false;
  bool stream = false;
  std::uint64_t max_tokens = 16;
  std::uint64_t resume_from = 0;
  std::uint64_t priority = 5;
};

struct engine_callbacks {
  /** Token number `index` of a generation. */
  std::function<void(generation_id, std::uint64_t index, std::string text)>
      on_token;
  /** The last token was reported. */
  std::function<void(generation_id, nlohmann::json usage)> on_end;
};

/** Figures of `GET /load`. */
struct engine_load {
  base::time_us at_us = 0;
  std::size_t queued = 0;
  std::size_t running = 0;
  std::uint64_t kv_used = 0;
  std::uint64_t tokens_per_s = 0;
};

/** The text of one token; depends on the prompt and the index only. */
std::string TokenText(std::uint64_t prompt_hash, std::uint64_t index);

/** Continuous batching: each step gives one token to each running request. */
class engine {
 public:
  engine(engine_settings settings, engine_callbacks callbacks);

  /** Returns false if the queue is full. */
  bool Add(generation_request request, base::time_us now_us);
  /** Both return whether something was stopped. */
  bool Cancel(generation_id id);
  bool CancelAttempt(const std::string& attempt_id);

  /** Runs one step. */
  void Step(base::time_us now_us);

  bool idle() const { return running_.empty() && queue_.empty(); }
  engine_load Load(base::time_us now_us);
  prefix_cache& cache() { return cache_; }
  const engine_settings& settings() const { return settings_; }

 private:
  struct sequence {
    generation_request request;
    std::uint64_t prompt_hash = 0;
    std::vector<std::uint64_t> blocks;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    double prefill_left_us = 0;
    std::uint64_t next_token = 0;
  };

  void Admit(base::time_us now_us);
  void End(const sequence& ended);

  engine_settings settings_;
  engine_callbacks callbacks_;
  prefix_cache cache_;
  std::list<sequence> running_;
  /** By priority, then by arrival. */
  std::multimap<std::uint64_t, sequence> queue_;
  std::uint64_t tokens_ = 0;
  std::uint64_t rate_tokens_ = 0;
  base::time_us rate_since_us_ = 0;
  std::uint64_t tokens_per_s_ = 0;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_ENGINE_H_
