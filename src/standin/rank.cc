#include "standin/rank.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::standin {

namespace {

constexpr std::size_t kMaxEpochHistory = 1'024;
constexpr std::uint64_t kMaxExperts = 1'000'000;
constexpr std::uint64_t kTopTokensPerStep = 64;
constexpr base::time_us kDriftPeriodUs = 60'000'000;

std::uint64_t Number(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

std::string Text(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t MapDigest(const nlohmann::json& order) {
  const auto it = order.find("map");
  return it == order.end() ? 0 : base::Hash64(it->dump());
}

}  // namespace

rank::rank(rank_settings settings, base::time_us now_us)
    : settings_(std::move(settings)),
      next_step_us_(now_us + settings_.step_time_us) {
  BeginEpoch(0, 0);
}

bool rank::waiting() const {
  return armed_ && !armed_->commit && step_ >= armed_->step;
}

void rank::BeginEpoch(std::uint64_t epoch, std::uint64_t map_digest) {
  epoch_history_.push_back({step_, generation_, epoch, map_digest});
  if (epoch_history_.size() > kMaxEpochHistory) {
    epoch_history_.pop_front();
  }
}

void rank::Advance(base::time_us now_us) {
  if (staging_ && !staging_->ready && staging_->ready_us <= now_us) {
    staging_->ready = true;
    staged_epoch_ = staging_->epoch;
  }
  while (next_step_us_ <= now_us) {
    if (waiting()) {
      next_step_us_ = now_us + settings_.step_time_us;
      return;
    }
    next_step_us_ += settings_.step_time_us;
    ++step_;
    ++total_steps_;
    if (armed_ && step_ == armed_->step && armed_->commit) {
      if (*armed_->commit && staging_) {
        BeginEpoch(staging_->epoch, staging_->map_digest);
      }
      armed_.reset();
    }
  }
}

bool rank::Fenced(const nlohmann::json& order) {
  const auto it = order.find("fencing_number");
  const nlohmann::json number =
      it != order.end() && it->is_object() ? *it : nlohmann::json::object();
  const std::pair given{Number(number, "term"), Number(number, "index")};
  const bool stale = given < highest_fencing_;
  highest_fencing_ = std::max(highest_fencing_, given);
  if (stale && !settings_.checks_fencing) {
    ++stale_applied_;
  }
  return stale && settings_.checks_fencing;
}

order_answer rank::Answer(unsigned status, std::string_view result) const {
  return {status, {{"result", result}, {"step", step_}}};
}

order_answer rank::Apply(const nlohmann::json& order, base::time_us now_us) {
  if (!order.is_object()) {
    return Answer(400, "malformed");
  }
  Advance(now_us);
  if (Fenced(order)) {
    ++orders_refused_;
    return Answer(409, "fenced");
  }
  ++orders_applied_;
  const std::string kind = Text(order, "kind");
  if (kind == "stage_map") {
    return Stage(order, now_us);
  }
  if (kind == "arm_map") {
    return Arm(order);
  }
  if (kind == "decide_map") {
    return Decide(order);
  }
  if (kind == "form_group") {
    return Form(order, now_us);
  }
  if (kind == "change_role") {
    role_ = Text(order, "name");
    return Answer(200, "done");
  }
  if (kind == "load_model" || kind == "load_adapter" ||
      kind == "load_version") {
    models_.push_back({{"kind", kind},
                       {"name", Text(order, "name")},
                       {"version", Text(order, "version")}});
    return Answer(200, "done");
  }
  return Answer(400, "unknown_kind");
}

order_answer rank::Stage(const nlohmann::json& order, base::time_us now_us) {
  if (Number(order, "generation") != generation_) {
    return Answer(409, "other_generation");
  }
  const auto map = order.find("map");
  const std::uint64_t slots =
      map != order.end() && map->is_object()
          ? Number(*map, "layers") * Number(*map, "slots_per_rank")
          : 0;
  const auto copy_us = static_cast<base::time_us>(
      static_cast<double>(slots * settings_.slot_bytes) * 1e6 /
      static_cast<double>(settings_.store_bytes_per_s));
  staging_ = staged_map{.epoch = Number(order, "epoch"),
                        .map_digest = MapDigest(order),
                        .ready_us = now_us + copy_us};
  Advance(now_us);
  return Answer(200, "done");
}

order_answer rank::Arm(const nlohmann::json& order) {
  const std::uint64_t epoch = Number(order, "epoch");
  const std::uint64_t step = Number(order, "step");
  if (Number(order, "generation") != generation_ || staged_epoch_ != epoch) {
    return Answer(409, "not_staged");
  }
  if (step_ >= step) {
    return Answer(200, "too_late");
  }
  if (!armed_ || armed_->epoch != epoch || armed_->step != step) {
    armed_ = armed_step{.epoch = epoch, .step = step, .commit = {}};
  }
  return Answer(200, "done");
}

order_answer rank::Decide(const nlohmann::json& order) {
  const std::uint64_t epoch = Number(order, "epoch");
  const auto it = order.find("commit");
  const bool commit = it != order.end() && it->is_boolean() && it->get<bool>();
  if (Number(order, "generation") != generation_) {
    return Answer(409, "other_generation");
  }
  if (!armed_ || armed_->epoch != epoch) {
    // A resent decision, or an abort that arrives before this rank is armed.
    return !commit || epoch_history_.back().epoch == epoch
               ? Answer(200, "done")
               : Answer(409, "not_armed");
  }
  if (!commit) {
    armed_.reset();
    return Answer(200, "done");
  }
  armed_->commit = true;
  if (step_ == armed_->step) {
    if (staging_) {
      BeginEpoch(staging_->epoch, staging_->map_digest);
    }
    armed_.reset();
  }
  return Answer(200, "done");
}

order_answer rank::Form(const nlohmann::json& order, base::time_us now_us) {
  const std::uint64_t generation = Number(order, "generation");
  if (generation < generation_) {
    return Answer(409, "other_generation");
  }
  if (generation > generation_) {
    generation_ = generation;
    step_ = 0;
    next_step_us_ = now_us + settings_.step_time_us;
    armed_.reset();
    staging_.reset();
    staged_epoch_ = Number(order, "epoch");
    const auto map = order.find("map");
    if (map != order.end() && map->is_object()) {
      layers_ = Number(*map, "layers");
      experts_ = Number(*map, "experts");
    }
    BeginEpoch(staged_epoch_, MapDigest(order));
  }
  return Answer(200, "done");
}

std::vector<std::uint32_t> rank::TakeExpertTokens(base::time_us now_us) {
  const std::uint64_t steps =
      total_steps_ - std::exchange(reported_steps_, total_steps_);
  std::vector<std::uint32_t> tokens;
  if (layers_ * experts_ > kMaxExperts) {
    return tokens;
  }
  // In each layer, the n-th most popular expert gets tokens in proportion to
  // 1/n. The most popular one changes every kDriftPeriodUs.
  const auto drift = static_cast<std::uint64_t>(now_us / kDriftPeriodUs);
  for (std::uint64_t layer = 0; layer < layers_; ++layer) {
    for (std::uint64_t expert = 0; expert < experts_; ++expert) {
      const std::uint64_t popularity_rank =
          (expert + layer * 5 + drift) % experts_;
      const std::uint64_t noise =
          base::Hash64(std::to_string(layer * experts_ + expert), steps) % 8;
      tokens.push_back(static_cast<std::uint32_t>(
          steps * (kTopTokensPerStep + noise) / (popularity_rank + 1)));
    }
  }
  return tokens;
}

nlohmann::json rank::Report() const {
  nlohmann::json history = nlohmann::json::array();
  for (const epoch_start& start : epoch_history_) {
    history.push_back({{"step", start.step},
                       {"generation", start.generation},
                       {"epoch", start.epoch},
                       {"map_digest", start.map_digest}});
  }
  return {{"group", settings_.group},
          {"rank", settings_.rank},
          {"generation", generation_},
          {"step", step_},
          {"step_time_us", settings_.step_time_us},
          {"map_epoch", epoch_history_.back().epoch},
          {"staged_epoch", staged_epoch_},
          {"waiting", waiting()},
          {"armed_step", armed_ ? armed_->step : 0},
          {"role", role_},
          {"loaded", models_},
          {"orders_applied", orders_applied_},
          {"orders_refused", orders_refused_},
          {"stale_orders_applied", stale_applied_},
          {"history", std::move(history)}};
}

}  // namespace wisteriaroute::standin
