#include "standin/engine.h"

#include <algorithm>
#include <array>

#include "libwisteriaroute/agent/prefix_blocks.h"
#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::standin {

namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr base::time_us kRatePeriodUs = 1'000'000;
constexpr std::array kWords = {" wisteria", " server", " route", " rank",
                               " token",    " step",   " map",   " lease",
                               " quorum",   " log",    " queue", " window",
                               " claim",    " order",  " group", " expert"};

}  // namespace

std::string TokenText(std::uint64_t prompt_hash, std::uint64_t index) {
  const std::uint64_t hash = base::Hash64(std::to_string(index), prompt_hash);
  return kWords[hash % kWords.size()] + std::to_string(hash / 16 % 100);
}

engine::engine(engine_settings settings, engine_callbacks callbacks)
    : settings_(settings),
      callbacks_(std::move(callbacks)),
      cache_(settings.cache_blocks) {}

bool engine::Add(generation_request request, base::time_us now_us) {
  if (queue_.size() >= settings_.queue) {
    return false;
  }
  sequence added{.request = std::move(request)};
  const generation_request& wanted = added.request;
  added.prompt_hash = base::Hash64(wanted.prompt, base::Hash64(wanted.model));
  added.blocks = agent::PrefixBlockHashes(wanted.prompt);
  added.prompt_tokens =
      wanted.prompt.size() / kBytesPerToken + 1 + wanted.resume_from;
  added.next_token = wanted.resume_from;
  queue_.emplace(wanted.priority, std::move(added));
  Admit(now_us);
  return true;
}

void engine::Admit(base::time_us now_us) {
  while (running_.size() < settings_.slots && !queue_.empty()) {
    sequence next = std::move(queue_.extract(queue_.begin()).mapped());
    const std::uint64_t cached =
        cache_.Match(next.blocks) * agent::kPrefixBlockBytes / kBytesPerToken;
    next.cached_tokens = std::min(cached, next.prompt_tokens);
    next.prefill_left_us =
        static_cast<double>(next.prompt_tokens - next.cached_tokens) *
        settings_.prefill_us_per_token;
    cache_.Insert(next.blocks, now_us);
    running_.push_back(std::move(next));
  }
}

bool engine::Cancel(generation_id id) {
  const auto matches = [id](const sequence& s) {
    return s.request.id == id && !s.cancelled;
  };
  const auto found = std::ranges::find_if(running_, matches);
  if (found != running_.end()) {
    // A callback may cancel the sequence that Step() is working on.
    if (in_step_) {
      found->cancelled = true;
    } else {
      running_.erase(found);
    }
    return true;
  }
  const auto erased = std::erase_if(
      queue_, [&](const auto& entry) { return matches(entry.second); });
  return erased > 0;
}

bool engine::CancelAttempt(const std::string& attempt_id) {
  std::vector<generation_id> found;
  for (const sequence& s : running_) {
    if (s.request.attempt_id == attempt_id) {
      found.push_back(s.request.id);
    }
  }
  for (const auto& [priority, s] : queue_) {
    if (s.request.attempt_id == attempt_id) {
      found.push_back(s.request.id);
    }
  }
  for (const generation_id id : found) {
    Cancel(id);
  }
  return !found.empty();
}

void engine::Step(base::time_us now_us) {
  Admit(now_us);
  in_step_ = true;
  // All requests in prefill share one step's time, in order of admission.
  double prefill_us = static_cast<double>(settings_.step_time_us);
  for (auto it = running_.begin(); it != running_.end();) {
    sequence& current = *it;
    if (!current.cancelled && current.prefill_left_us > 0) {
      const double used = std::min(prefill_us, current.prefill_left_us);
      current.prefill_left_us -= used;
      prefill_us -= used;
      if (current.prefill_left_us > 0) {
        ++it;
        continue;
      }
    }
    if (!current.cancelled && current.next_token < current.request.max_tokens) {
      ++tokens_;
      const std::uint64_t index = current.next_token++;
      callbacks_.on_token(current.request.id, index,
                          TokenText(current.prompt_hash, index));
    }
    if (current.cancelled) {
      it = running_.erase(it);
    } else if (current.next_token >= current.request.max_tokens) {
      const sequence ended = std::move(current);
      it = running_.erase(it);
      End(ended);
    } else {
      ++it;
    }
  }
  // Callbacks may have cancelled sequences that the loop had passed.
  std::erase_if(running_, [](const sequence& s) { return s.cancelled; });
  in_step_ = false;
}

void engine::End(const sequence& ended) {
  callbacks_.on_end(
      ended.request.id,
      {{"prompt_tokens", ended.prompt_tokens - ended.request.resume_from},
       {"completion_tokens", ended.next_token},
       {"prompt_tokens_details", {{"cached_tokens", ended.cached_tokens}}}});
}

engine_load engine::Load(base::time_us now_us) {
  if (now_us - rate_since_us_ >= kRatePeriodUs) {
    tokens_per_s_ = (tokens_ - rate_tokens_) * 1'000'000 /
                    static_cast<std::uint64_t>(now_us - rate_since_us_);
    rate_tokens_ = tokens_;
    rate_since_us_ = now_us;
  }
  std::uint64_t kv_used =
      cache_.size() * agent::kPrefixBlockBytes / kBytesPerToken;
  for (const sequence& s : running_) {
    kv_used += s.prompt_tokens - s.cached_tokens + s.next_token;
  }
  return {.at_us = now_us,
          .queued = queue_.size(),
          .running = running_.size(),
          .kv_used = std::min(kv_used, settings_.kv_tokens),
          .tokens_per_s = tokens_per_s_};
}

}  // namespace wisteriaroute::standin
