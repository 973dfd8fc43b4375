#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "tests/control/fake_cluster.h"

namespace wisteriaroute::control {
namespace {

using wire::claim_result;

constexpr base::time_us kWindowUs = 3'000'000;
constexpr base::time_us kRetryUs = 300'000;

/** An agent's knowledge of an attempt. */
enum class attempt_state { kRunning, kFinished, kNeverRuns, kUnknown };

// An agent that follows the claim protocol. Counts the runs of each key.
class fake_agent {
 public:
  fake_agent(fake_cluster& cluster, std::map<int, int>& runs)
      : cluster_(cluster), runs_(runs) {
    Restart();
    Tick();
  }

  void Restart() {
    incarnation_ = cluster_.random();
    attempts_.clear();
  }
  /** The agent refuses all new attempts for a while. */
  void Refuse(base::time_us duration) {
    refusing_until_us_ = cluster_.now_us + duration;
  }

  std::uint64_t incarnation() const { return incarnation_; }
  std::uint64_t window() const { return window_; }

  attempt_state Submit(const wire::claim_target& target, int key) {
    const attempt_state known = Lookup(target);
    if (known != attempt_state::kNeverRuns || !InWindow(target) ||
        attempts_.contains(target.attempt)) {
      return known;
    }
    record& added = attempts_[target.attempt];
    added.window = target.window;
    if (cluster_.now_us < refusing_until_us_) {
      return attempt_state::kNeverRuns;
    }
    added.state = attempt_state::kRunning;
    ++runs_[key];
    cluster_.At(cluster_.Upto(1'000'000),
                [this, attempt = target.attempt, run = incarnation_] {
                  if (run == incarnation_ && attempts_.contains(attempt)) {
                    attempts_[attempt].state = attempt_state::kFinished;
                  }
                });
    return attempt_state::kRunning;
  }

  /**
   * Returns the state of an attempt. A tombstone keeps an unseen attempt from
   * running later.
   */
  attempt_state Query(const wire::claim_target& target) {
    const attempt_state known = Lookup(target);
    if (known == attempt_state::kNeverRuns) {
      attempts_.try_emplace(target.attempt, record{.window = target.window});
    }
    return known;
  }

 private:
  struct record {
    std::uint64_t window = 0;
    attempt_state state = attempt_state::kNeverRuns;
  };

  bool InWindow(const wire::claim_target& target) const {
    return target.window + 1 >= window_;
  }

  attempt_state Lookup(const wire::claim_target& target) const {
    if (target.backend_incarnation != incarnation_ || !InWindow(target)) {
      return attempt_state::kUnknown;
    }
    const auto found = attempts_.find(target.attempt);
    return found == attempts_.end() ? attempt_state::kNeverRuns
                                    : found->second.state;
  }

  void Tick() {
    cluster_.At(kWindowUs, [this] {
      ++window_;
      std::erase_if(attempts_, [&](const auto& item) {
        return item.second.window + 1 < window_;
      });
      Tick();
    });
  }

  fake_cluster& cluster_;
  std::map<int, int>& runs_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t window_ = 5;
  base::time_us refusing_until_us_ = 0;
  std::map<base::digest128, record> attempts_;
};

using fake_agents = std::vector<std::unique_ptr<fake_agent>>;

struct call_key {
  int number = 0;
  /** 0 for an undated key. */
  base::time_ms created_ms = 0;
};

// An entry that follows the claim protocol and loses its calls on a restart.
class fake_entry {
 public:
  fake_entry(fake_cluster& cluster, fake_agents& agents, std::uint64_t number)
      : cluster_(cluster), agents_(agents), number_(number) {
    const std::size_t client = cluster.AddClient(
        {.on_message = [this](net::link_id,
                              const wire::control_message& message) {
          if (const auto* reply = std::get_if<wire::claim_reply>(&message)) {
            HandleReply(*reply);
          }
        }});
    for (std::size_t i = 0; i < 3; ++i) {
      links_.push_back(cluster.Open(client, i));
    }
  }

  void Restart() {
    calls_.clear();
    requests_.clear();
    ++run_;
  }

  /** A call, or a resend of an earlier one. */
  void Start(const call_key& key) {
    const std::uint64_t id = ++last_id_;
    call& added = calls_[id];
    added.key = key;
    added.wanted = NewTarget();
    Ask(id, wire::claim_request{
                .workspace = "w",
                .key_digest = {.low = static_cast<std::uint64_t>(key.number)},
                .body_digest = {.low = 1},
                .key_created_ms = key.created_ms,
                .target = added.wanted});
  }

  int answered() const { return answered_; }

 private:
  struct call {
    call_key key;
    /** The attempt that holds the claim as far as this entry knows. */
    wire::claim_target target;
    /** The attempt that the latest claim request named. */
    wire::claim_target wanted;
    /** Whether the awaited reply ends the call. */
    bool ending = false;
  };

  wire::claim_target NewTarget() {
    const std::uint64_t agent = cluster_.Pick(agents_.size());
    return {.attempt = {.high = number_ + 10 * run_, .low = ++last_attempt_},
            .agent = std::to_string(agent),
            .backend_incarnation = agents_[agent]->incarnation(),
            .window = agents_[agent]->window()};
  }

  void Ask(std::uint64_t id, wire::control_message request) {
    const std::uint64_t correlation = ++last_correlation_;
    std::visit(
        [&](auto& message) {
          if constexpr (requires { message.workspace; }) {
            message.correlation = correlation;
          }
        },
        request);
    requests_[correlation] = {id, std::move(request)};
    Send(correlation, cluster_.leader());
  }

  /** Sends a request to one replica after another until it is answered. */
  void Send(std::uint64_t correlation, std::size_t replica) {
    const auto found = requests_.find(correlation);
    if (found == requests_.end()) {
      return;
    }
    cluster_.SendToReplica(links_[replica], found->second.second);
    cluster_.At(kRetryUs, [this, correlation, replica] {
      Send(correlation, (replica + 1) % links_.size());
    });
  }

  void HandleReply(const wire::claim_reply& reply) {
    const auto found = requests_.find(reply.correlation);
    if (found == requests_.end() ||
        reply.result == claim_result::kUnavailable) {
      return;
    }
    const std::uint64_t id = found->second.first;
    requests_.erase(found);
    call& current = calls_[id];
    if (reply.result == claim_result::kGranted && current.ending) {
      End(id);
    } else if (reply.result == claim_result::kGranted) {
      current.target = current.wanted;
      Dispatch(id);
    } else if (reply.result == claim_result::kHeld) {
      current.target = reply.holder;
      current.ending = false;
      Query(id);
    } else {
      End(id);
    }
  }

  void End(std::uint64_t id) {
    calls_.erase(id);
    ++answered_;
  }

  /** Sends `request` to the agent; messages may be late, lost or doubled. */
  void WithAgent(std::uint64_t id,
                 std::function<attempt_state(fake_agent&)> request) {
    const auto target = calls_[id].target;
    const std::uint64_t exchange = ++calls_exchange_[id];
    fake_agent& agent = *agents_[std::stoul(target.agent)];
    const int copies = cluster_.Chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      cluster_.At(cluster_.Delay(), [this, id, exchange, request, &agent] {
        if (cluster_.Chance(0.1)) {
          return;
        }
        const attempt_state state = request(agent);
        cluster_.At(cluster_.Delay(), [this, id, exchange, state] {
          if (!cluster_.Chance(0.1)) {
            HandleAttempt(id, exchange, state);
          }
        });
      });
    }
    cluster_.At(kRetryUs, [this, id, exchange] {
      if (calls_.contains(id) && calls_exchange_[id] == exchange) {
        Query(id);
      }
    });
  }

  void Dispatch(std::uint64_t id) {
    WithAgent(id, [target = calls_[id].target, key = calls_[id].key.number](
                      fake_agent& agent) { return agent.Submit(target, key); });
  }

  void Query(std::uint64_t id) {
    WithAgent(id, [target = calls_[id].target](fake_agent& agent) {
      return agent.Query(target);
    });
  }

  void HandleAttempt(std::uint64_t id,
                     std::uint64_t exchange,
                     attempt_state state) {
    if (!calls_.contains(id) || calls_exchange_[id] != exchange) {
      return;
    }
    ++calls_exchange_[id];
    switch (state) {
      case attempt_state::kRunning:
        cluster_.At(cluster_.Upto(kRetryUs), [this, id] {
          if (calls_.contains(id)) {
            Query(id);
          }
        });
        break;
      case attempt_state::kFinished:
        Record(id, wire::outcome::kRan);
        break;
      case attempt_state::kUnknown:
        Record(id, wire::outcome::kUnknown);
        break;
      case attempt_state::kNeverRuns:
        if (cluster_.Chance(0.3)) {
          Record(id, wire::outcome::kNotRun);
        } else {
          MoveClaim(id);
        }
        break;
    }
  }

  void Record(std::uint64_t id, wire::outcome ran) {
    call& current = calls_[id];
    current.ending = true;
    Ask(id,
        wire::claim_outcome{.workspace = "w",
                            .key_digest = {.low = static_cast<std::uint64_t>(
                                               current.key.number)},
                            .attempt = current.target.attempt,
                            .response = {.ran = ran, .status = 201}});
  }

  void MoveClaim(std::uint64_t id) {
    call& current = calls_[id];
    current.wanted = NewTarget();
    Ask(id, wire::claim_move{.workspace = "w",
                             .key_digest = {.low = static_cast<std::uint64_t>(
                                                current.key.number)},
                             .from_attempt = current.target.attempt,
                             .to = current.wanted});
  }

  fake_cluster& cluster_;
  fake_agents& agents_;
  std::uint64_t number_;
  std::uint64_t run_ = 0;
  std::vector<net::link_id> links_;
  std::map<std::uint64_t, call> calls_;
  std::map<std::uint64_t, std::uint64_t> calls_exchange_;
  std::map<std::uint64_t, std::pair<std::uint64_t, wire::control_message>>
      requests_;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_correlation_ = 0;
  int answered_ = 0;
};

struct schedule_result {
  std::string violation;
  int runs = 0;
  int answered = 0;
};

// Guards against a non-repeatable call that runs twice because of parallel
// resends through two entries, moves, lost replies, restarts or expiry. One
// second of the schedule is four hours of log time, so that claims expire.
schedule_result RunSchedule(std::uint64_t seed) {
  fake_cluster cluster(seed, {.loss = 0.05,
                              .duplicate = 0.1,
                              .reorder = true,
                              .slow = 0.05,
                              .wall_scale = 4 * 3'600});
  std::map<int, int> runs;
  fake_agents agents;
  agents.push_back(std::make_unique<fake_agent>(cluster, runs));
  agents.push_back(std::make_unique<fake_agent>(cluster, runs));
  fake_entry entries[] = {{cluster, agents, 1}, {cluster, agents, 2}};
  std::vector<call_key> keys;
  for (int i = 0; i < 200; ++i) {
    if (cluster.Chance(0.2)) {
      keys.push_back(
          {static_cast<int>(keys.size()) + 1,
           cluster.Chance(0.5) ? cluster.WallMs() : base::time_ms{0}});
    }
    if (!keys.empty() && cluster.Chance(0.5)) {
      // Mostly recent keys, but some as old as the schedule.
      const std::size_t recent = std::min<std::size_t>(keys.size(), 3);
      const std::size_t back =
          cluster.Pick(cluster.Chance(0.8) ? recent : keys.size());
      entries[cluster.Pick(2)].Start(keys[keys.size() - 1 - back]);
    }
    switch (cluster.Pick(60)) {
      case 0:
        cluster.Elect(cluster.Pick(3));
        break;
      case 1:
        entries[cluster.Pick(2)].Restart();
        break;
      case 2:
        agents[cluster.Pick(2)]->Restart();
        break;
      case 3:
        agents[cluster.Pick(2)]->Refuse(cluster.Upto(2'000'000));
        break;
      case 4:
        cluster.Reload(cluster.Pick(3));
        break;
      default:
        break;
    }
    cluster.RunFor(100'000);
  }
  schedule_result result{.answered =
                             entries[0].answered() + entries[1].answered()};
  for (const auto& [key, count] : runs) {
    result.runs += count;
    if (count > 1) {
      result.violation = "key " + std::to_string(key) + " ran " +
                         std::to_string(count) + " times";
    }
  }
  return result;
}

TEST_CASE("a call with a key never runs twice") {
  int runs = 0;
  int answered = 0;
  CHECK(rc::check("random resends, moves, losses and expiry", [&] {
    for (int i = 0; i < 10; ++i) {
      const auto seed = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      const schedule_result result = RunSchedule(seed);
      runs += result.runs;
      answered += result.answered;
      if (!result.violation.empty()) {
        RC_FAIL("seed " + std::to_string(seed) + ": " + result.violation);
      }
    }
  }));
  // Ensures that the property doesn't hold merely because no call ran.
  MESSAGE("calls run: " << runs << ", answered: " << answered);
  CHECK(runs > 1'000);
  CHECK(answered > runs);
}

}  // namespace
}  // namespace wisteriaroute::control
