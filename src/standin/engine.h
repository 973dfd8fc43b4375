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
  /** Requests that run at once. */
  std::size_t slots = 16;
  /** Requests that wait at most. */
  std::size_t queue = 256;
  base::time_us step_time_us = 5'000;
  /** Prefill time per prompt token that isn't in the prefix cache. */
  double prefill_us_per_token = 20;
  /** Capacity of the prefix cache in blocks. */
  std::size_t cache_blocks = 4'096;
  /** KV cache capacity that `GET /load` reports; not enforced. */
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
  /** Index of the first token to generate; earlier ones count as prompt. */
  std::uint64_t resume_from = 0;
  /** Requests with a lower number start first. */
  std::uint64_t priority = 5;
};

struct engine_callbacks {
  /** A token was generated; `index` counts from 0. */
  std::function<void(generation_id, std::uint64_t index, std::string text)>
      on_token;
  /** A generation is complete; follows its last `on_token`. */
  std::function<void(generation_id, nlohmann::json usage)> on_end;
};

/** Load sample that `GET /load` reports. */
struct engine_load {
  base::time_us at_us = 0;
  std::size_t queued = 0;
  std::size_t running = 0;
  std::uint64_t kv_used = 0;
  /** Recomputed when at least 1 s has passed. */
  std::uint64_t tokens_per_s = 0;
};

/**
 * Returns the text of one token. It depends on the arguments only, so every
 * engine generates the same text for the same prompt and model.
 */
std::string TokenText(std::uint64_t prompt_hash, std::uint64_t index);

/**
 * Simulates an engine with continuous batching: each step generates one token
 * for every running request whose prefill is complete.
 */
class engine {
 public:
  engine(engine_settings settings, engine_callbacks callbacks);

  /** Queues a request and admits it if a slot is free; false: queue full. */
  bool Add(generation_request request, base::time_us now_us);
  /**
   * Removes a running or queued generation without a callback. Returns whether
   * there was one. May be called from a callback.
   */
  bool Cancel(generation_id id);
  /** Like Cancel, for all generations of an attempt. */
  bool CancelAttempt(const std::string& attempt_id);

  /** Admits queued requests into free slots and runs one step. */
  void Step(base::time_us now_us);

  bool idle() const { return running_.empty() && queue_.empty(); }
  /** Samples the load. */
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
    /** Cancelled during a step; removed by the time the step ends. */
    bool cancelled = false;
  };

  void Admit(base::time_us now_us);
  void End(const sequence& ended);

  engine_settings settings_;
  engine_callbacks callbacks_;
  prefix_cache cache_;
  std::list<sequence> running_;
  /** Step() is iterating over `running_`. */
  bool in_step_ = false;
  /** Waiting requests by priority, then in order of arrival. */
  std::multimap<std::uint64_t, sequence> queue_;
  std::uint64_t tokens_ = 0;
  std::uint64_t rate_tokens_ = 0;
  base::time_us rate_since_us_ = 0;
  std::uint64_t tokens_per_s_ = 0;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_ENGINE_H_
