#ifndef TESTS_ENTRY_WORLD_H_
#define TESTS_ENTRY_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/entry/step.h"
#include "tests/entry/fake_agent.h"
#include "tests/entry/fake_control.h"

namespace wisteriaroute::entry_test {

using namespace entry;

inline config::object_set TestConfiguration() {
  config::object_set set;
  set.models["m"] = {.name = "m", .adapters = {"a"}};
  set.services["s"] = {
      .name = "s", .non_repeatable_methods = {"POST"}, .timeout_ms = 30'000};
  set.workspaces["w"] = {.name = "w",
                         .key_digests = {base::Sha256Hex("secret")},
                         .models = {"m"},
                         .services = {"s"},
                         .max_concurrency = 10'000,
                         .tokens_per_minute = 100'000'000};
  return set;
}

/** What a caller received. */
struct exchange_record {
  std::string request_id;
  std::string path;
  std::string body;
  std::string key;
  bool left = false;
  unsigned answers = 0;
  unsigned status = 0;
  net::http_headers headers;
  /** Body of a whole response, or all that a stream carried. */
  std::string received;
  bool streamed = false;
  bool aborted = false;
  /** Runs of the call with this key when the answer came. */
  unsigned runs_at_answer = 0;
};

/** Probabilities of faults, in percent. */
struct fault_rates {
  unsigned duplicate = 0;
  unsigned reorder = 0;
  unsigned refuse = 0;
  unsigned control_loss = 0;
};

/** Entries, fake agents and a fake control on one simulated clock. */
class world {
 public:
  fault_rates faults;
  std::map<std::uint64_t, exchange_record> exchanges;
  std::vector<std::unique_ptr<entry_state>> entries;
  std::map<std::string, fake_agent> agents;
  fake_control control;
  /** Starts at backend servers, by request id and by body. */
  std::map<std::string, unsigned> runs_of_request;
  std::map<std::string, unsigned> runs_of_body;
  /** Starts of requests whose callers had got the outcome `not_run`. */
  unsigned runs_after_not_run = 0;
  /** Called for each start at a backend server. */
  std::function<void(const std::string& agent, const wire::submit&)> on_run;
  std::vector<wire::control_message> to_control;

  world(std::uint64_t seed, int entry_count, int agent_count) : random_(seed) {
    for (int i = 0; i < agent_count; ++i) {
      AddAgent("agent-" + std::to_string(i));
    }
    const auto set =
        std::make_shared<const config::object_set>(TestConfiguration());
    for (int i = 0; i < entry_count; ++i) {
      entries.push_back(std::make_unique<entry_state>());
      entries.back()->name = "entry-" + std::to_string(i);
      entries.back()->incarnation = 100 + i;
      Feed(i, configuration_applied{set, 1});
      Feed(i, lease_extended{kForever});
      Feed(i, control_received{Members()});
      Tick(i);
    }
    RunFor(200'000);
  }

  base::time_us now() const { return now_; }
  std::uint64_t Random(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return Random(100) < percent; }

  void At(base::time_us delay, std::function<void()> task) {
    tasks_.push({now_ + delay, sequence_++, std::move(task)});
  }

  void RunFor(base::time_us duration) {
    const base::time_us end = now_ + duration;
    while (!tasks_.empty() && tasks_.top().at <= end) {
      const auto task = tasks_.top();
      tasks_.pop();
      now_ = std::max(now_, task.at);
      task.run();
    }
    now_ = end;
  }

  /** Sends a request now; returns its exchange. */
  std::uint64_t Send(int entry,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body,
                     const std::string& key = "",
                     net::http_headers more = {}) {
    const std::uint64_t id = next_exchange_++;
    exchange_record& record = exchanges[id];
    record.request_id = "r" + std::to_string(id);
    record.path = path;
    record.body = body;
    record.key = key;
    net::http_server_request http{
        .method = method, .path = path, .headers = std::move(more)};
    http.body = body;
    http.headers.emplace_back("authorization", "Bearer secret");
    http.headers.emplace_back("x-request-id", record.request_id);
    if (!key.empty()) {
      http.headers.emplace_back("idempotency-key", key);
    }
    Feed(entry,
         http_received{id, std::move(http), 1'700'000'000'000, random_()});
    return id;
  }

  void Leave(int entry, std::uint64_t exchange) {
    exchange_record& record = exchanges[exchange];
    if (record.answers == 0 && !record.left) {
      record.left = true;
      Feed(entry, caller_left{exchange});
    }
  }

  void Feed(int entry, const entry_event& event) {
    for (entry_effect& effect : Step(*entries[entry], event, now_)) {
      std::visit([&](auto& each) { Run(entry, each); }, effect);
    }
  }

  /** Cuts the link of an entry to an agent and restores it after `down_us`. */
  void CutLink(int entry, const std::string& agent, base::time_us down_us) {
    const std::uint64_t link = std::exchange(links_[{entry, agent}], 0);
    if (link == 0) {
      return;
    }
    open_links_.erase(link);
    agents.at(agent).LinkDown(link);
    Feed(entry, agent_link_down{link});
    At(down_us, [this, entry, agent] { Connect(entry, agent); });
  }

  wire::member_update Members() const {
    wire::member_update update{.full = true};
    for (const auto& [name, agent] : agents) {
      update.changed.push_back({.name = name,
                                .role = wire::member_role::kAgent,
                                .address = "127.0.0.1:1",
                                .backend = Backend(name)});
    }
    return update;
  }

  void Crash(const std::string& name, base::time_us down_us) {
    if (!agents.at(name).healthy) {
      return;
    }
    control.ReportCrash(agents.at(name).Crash());
    At(down_us, [this, name] { agents.at(name).Recover(); });
    At(5'000 + static_cast<base::time_us>(Random(50'000)),
       [this] { SendQuarantine(); });
  }

  /** Restarts the agent's process, which loses its state. */
  void Restart(const std::string& name) {
    fake_agent& agent = agents.at(name);
    agent.runs.clear();
    ++agent.incarnation;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      CutLink(static_cast<int>(i), name, 200'000);
    }
  }

  void SendQuarantine() {
    wire::quarantine_update update{.full = true};
    for (const auto* entries : {&control.quarantine, &control.parts.entries}) {
      for (const auto& [fingerprint, entry] : *entries) {
        if (entry.is_part == (entries == &control.parts.entries)) {
          update.changed.push_back(entry);
        }
      }
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
      Feed(static_cast<int>(i), control_received{update});
    }
  }

 private:
  static constexpr base::time_us kForever = 1'000'000'000'000'000;
  struct task {
    base::time_us at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const task& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  // Agents with even numbers serve the model, those with odd ones the service.
  static wire::backend_info Backend(const std::string& name) {
    const bool plain = name.back() % 2 == 1;
    return plain ? wire::backend_info{.service = "s"}
                 : wire::backend_info{.models = {"m"}};
  }

  void AddAgent(const std::string& name) {
    fake_agent& agent = agents[name];
    agent.name = name;
    agent.incarnation = 1'000 * (agents.size() + 1);
    agent.refuse_submit = [this] { return Chance(faults.refuse); };
    agent.on_run = [this, name](const wire::submit& work) {
      ++runs_of_request[work.request_id];
      ++runs_of_body[work.body];
      if (told_not_run_.contains(work.request_id)) {
        ++runs_after_not_run;
      }
      if (on_run) {
        on_run(name, work);
      }
    };
    agent.send = [this](std::uint64_t link, wire::work_message message) {
      SendToEntry(link, message);
    };
    Advance(name);
  }

  void Advance(const std::string& name) {
    agents.at(name).Advance();
    At(10'000 + Random(30'000), [this, name] { Advance(name); });
  }

  void Tick(int entry) {
    Feed(entry, tick{random_()});
    At(50'000, [this, entry] { Tick(entry); });
  }

  void Connect(int entry, const std::string& agent) {
    if (links_[{entry, agent}] != 0) {
      return;
    }
    const std::uint64_t link = next_link_++;
    links_[{entry, agent}] = link;
    open_links_[link] = entry;
    agents.at(agent).links.insert(link);
    Feed(entry, agent_link_up{link, agent});
    SendToEntry(link, agents.at(agent).State());
  }

  // Messages on a link keep their order except for random reorder faults.
  base::time_us Delay(std::uint64_t link) {
    if (Chance(faults.reorder)) {
      return 500 + static_cast<base::time_us>(Random(60'000));
    }
    base::time_us& last = last_delivery_[link];
    last = std::max(last + 1, now_ + 500);
    return last - now_;
  }

  void SendToEntry(std::uint64_t link, const wire::work_message& message) {
    const int copies = Chance(faults.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      At(Delay(link), [this, link, message] {
        const auto open = open_links_.find(link);
        if (open != open_links_.end()) {
          Feed(open->second, work_received{link, message});
        }
      });
    }
  }

  void Run(int, http_respond& effect) {
    exchange_record& record = exchanges[effect.exchange];
    ++record.answers;
    record.status = effect.status;
    record.headers = effect.headers;
    record.received += effect.body;
    record.runs_at_answer = runs_of_body[record.body];
    if (effect.body.find("\"outcome\":\"not_run\"") != std::string::npos) {
      for (const auto& [name, value] : effect.headers) {
        if (name == "X-Request-Id") {
          told_not_run_.insert(value);
        }
      }
    }
  }
  void Run(int, stream_start& effect) {
    exchanges[effect.exchange].streamed = true;
    exchanges[effect.exchange].status = effect.status;
  }
  void Run(int, stream_write& effect) {
    exchanges[effect.exchange].received += effect.data;
  }
  void Run(int, stream_end& effect) { ++exchanges[effect.exchange].answers; }
  void Run(int, stream_abort& effect) {
    ++exchanges[effect.exchange].answers;
    exchanges[effect.exchange].aborted = true;
  }
  void Run(int, send_work& effect) {
    const std::uint64_t link = effect.link;
    const int copies = Chance(faults.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      At(Delay(link), [this, link, message = effect.message] {
        if (open_links_.contains(link)) {
          AgentOf(link).Receive(link, message);
        }
      });
    }
  }
  void Run(int entry, send_control& effect) {
    to_control.push_back(effect.message);
    if (Chance(faults.control_loss)) {
      return;
    }
    At(1'000 + Random(20'000), [this, entry, message = effect.message] {
      control.time_ms = now() / 1'000;
      const auto reply = control.Receive(message);
      if (reply && !Chance(faults.control_loss)) {
        At(1'000 + Random(20'000), [this, entry, reply = *reply] {
          Feed(entry, control_received{reply});
        });
      }
    });
  }
  void Run(int entry, dial_agent& effect) {
    At(1'000, [this, entry, agent = effect.agent] { Connect(entry, agent); });
  }
  template <typename Other>
  void Run(int, const Other&) {}

  fake_agent& AgentOf(std::uint64_t link) {
    for (const auto& [key, open] : links_) {
      if (open == link) {
        return agents.at(key.second);
      }
    }
    throw std::logic_error("no such link");
  }

  std::mt19937_64 random_;
  base::time_us now_ = 1'000'000;
  std::uint64_t sequence_ = 0;
  std::priority_queue<task> tasks_;
  std::uint64_t next_exchange_ = 1;
  std::uint64_t next_link_ = 1;
  std::map<std::pair<int, std::string>, std::uint64_t> links_;
  std::map<std::uint64_t, int> open_links_;
  std::map<std::uint64_t, base::time_us> last_delivery_;
  std::set<std::string> told_not_run_;
};

}  // namespace wisteriaroute::entry_test

#endif  // TESTS_ENTRY_WORLD_H_
