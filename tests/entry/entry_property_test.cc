#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "tests/entry/world.h"

namespace wisteriaroute::entry_test {

namespace {

// Longer than the time-outs of the reducer that answer a caller, except for the
// default deadline of generations (120 s).
constexpr base::time_us kSettleUs = 40'000'000;

struct stream_content {
  std::string text;
  bool done = false;
  bool error = false;
  unsigned after_end = 0;
};

stream_content ReadStream(const std::string& received) {
  stream_content out;
  std::size_t at = 0;
  while (at < received.size()) {
    const std::size_t end = received.find("\n\n", at);
    const std::string event = received.substr(at, end - at);
    at = end + 2;
    if (out.done || out.error) {
      ++out.after_end;
    }
    if (event.starts_with("event: error")) {
      out.error = true;
    } else if (event == "data: [DONE]") {
      out.done = true;
    } else if (event.starts_with("data: ")) {
      const auto json = nlohmann::json::parse(event.substr(6));
      out.text += json["choices"][0]["delta"].value("content", "");
    }
  }
  return out;
}

std::string OutcomeIn(const exchange_record& record) {
  const std::size_t at = record.received.find("\"outcome\":\"");
  return at == std::string::npos
             ? ""
             : record.received.substr(
                   at + 11, record.received.find('"', at + 11) - at - 11);
}

void CheckStream(const exchange_record& record) {
  const stream_content content = ReadStream(record.received);
  const std::string whole = WholeText(record.body);
  RC_ASSERT(content.after_end == 0U);
  if (content.done) {
    RC_ASSERT(content.text == whole);
  } else {
    RC_ASSERT(content.error || record.left);
    RC_ASSERT(whole.starts_with(content.text));
  }
}

// Checks what one caller received; holds under all faults.
void CheckExchange(world& sim, const exchange_record& record) {
  if (record.left) {
    RC_ASSERT(record.answers == 0U);
    return;
  }
  RC_ASSERT(record.answers == 1U);
  if (record.streamed) {
    CheckStream(record);
  } else if (record.status == 200 && record.path.starts_with("/v1/")) {
    const auto body = nlohmann::json::parse(record.received);
    RC_ASSERT(body["choices"][0]["text"] == WholeText(record.body));
  } else if (record.status == 200) {
    RC_ASSERT(record.received ==
              "done:" + record.body + WholeText(record.body));
  } else {
    RC_ASSERT(!OutcomeIn(record).empty());
  }
  if (OutcomeIn(record) == "not_run") {
    RC_ASSERT(sim.runs_of_request[record.request_id] == 0U);
    RC_ASSERT(record.key.empty() || record.status == 422 ||
              record.runs_at_answer == 0U);
  }
}

void CheckClean(const world& sim) {
  for (const auto& state : sim.entries) {
    RC_ASSERT(state->requests.empty());
    RC_ASSERT(state->queued == 0U);
    RC_ASSERT(state->request_of_attempt.empty());
    RC_ASSERT(state->request_of_exchange.empty());
    RC_ASSERT(state->request_of_correlation.empty());
    for (const auto& [name, at] : state->agents) {
      RC_ASSERT(at.in_flight == 0U);
      RC_ASSERT(at.suspects_in_flight == 0U);
    }
    for (const auto& [name, used] : state->usages) {
      RC_ASSERT(used.open_requests == 0);
    }
  }
}

void SendOne(world& sim, int number) {
  const int entry = static_cast<int>(sim.Random(sim.entries.size()));
  const std::string tag = std::to_string(number);
  std::uint64_t id = 0;
  switch (sim.Random(3)) {
    case 0:
      id = sim.Send(entry, "POST", "/v1/chat/completions",
                    R"({"model":"m","stream":true,"messages":[{"role":"user",)"
                    R"("content":")" +
                        tag + "\"}]}");
      break;
    case 1:
      id = sim.Send(entry, "POST", "/v1/completions",
                    R"({"model":"m","prompt":")" + tag + "\"}");
      break;
    default:
      id = sim.Send(entry, "GET", "/s/status", tag);
  }
  if (sim.Chance(10)) {
    sim.At(static_cast<base::time_us>(sim.Random(400'000)),
           [&sim, entry, id] { sim.Leave(entry, id); });
  }
}

void SendOrder(world& sim, int number) {
  const std::string key = "key-" + std::to_string(number);
  const std::string body = "order " + std::to_string(number);
  const auto sends = 1 + sim.Random(3);
  for (std::uint64_t i = 0; i < sends; ++i) {
    const int entry = static_cast<int>(sim.Random(sim.entries.size()));
    net::http_headers headers;
    if (sim.Chance(20)) {
      headers = {{"x-request-deadline-ms", std::to_string(sim.Random(500))}};
    }
    sim.At(static_cast<base::time_us>(sim.Random(1'500'000)), [&sim, entry, key,
                                                               body, headers] {
      const auto id = sim.Send(entry, "POST", "/s/orders", body, key, headers);
      if (sim.Chance(15)) {
        sim.At(static_cast<base::time_us>(sim.Random(400'000)),
               [&sim, entry, id] { sim.Leave(entry, id); });
      }
    });
  }
}

void DrawFaults(world& sim, int cuts, int crashes) {
  for (int i = 0; i < cuts; ++i) {
    sim.At(static_cast<base::time_us>(sim.Random(1'500'000)), [&sim] {
      const auto entry = static_cast<int>(sim.Random(sim.entries.size()));
      const auto agent = "agent-" + std::to_string(sim.Random(4));
      // 5 s is longer than `reattach_ms` (3 s).
      const base::time_us down_us = sim.Chance(80) ? 200'000 : 5'000'000;
      sim.CutLink(entry, agent, down_us);
    });
  }
  for (int i = 0; i < crashes; ++i) {
    sim.At(static_cast<base::time_us>(sim.Random(1'500'000)), [&sim] {
      const auto agent = "agent-" + std::to_string(sim.Random(4));
      if (sim.Chance(50)) {
        sim.Crash(agent, 500'000);
      } else {
        sim.Restart(agent);
      }
    });
  }
}

// Schedules for each seed; RapidCheck draws 100 seeds.
constexpr int kSchedulesPerSeed = 10;

template <typename Schedule>
bool CheckSchedules(Schedule schedule) {
  return rc::check([&](std::uint64_t seed) {
    for (int i = 0; i < kSchedulesPerSeed; ++i) {
      schedule(base::Hash64(std::to_string(seed) + "/" + std::to_string(i)));
    }
  });
}

}  // namespace

// Guards against lost, duplicated or interleaved parts of responses, resumes
// at a wrong position, and leaked state, under duplicated, reordered and
// refused messages, lost links and crashes.
TEST_CASE("every caller gets one answer: its complete response or an error") {
  const bool held = CheckSchedules([](std::uint64_t seed) {
    world sim(seed, 2, 4);
    sim.faults = {.duplicate = 10, .reorder = 20, .refuse = 10};
    DrawFaults(sim, static_cast<int>(sim.Random(4)),
               static_cast<int>(sim.Random(2)));
    for (int i = 0; i < 10; ++i) {
      sim.At(static_cast<base::time_us>(sim.Random(1'000'000)),
             [&sim, i] { SendOne(sim, i); });
    }
    sim.RunFor(kSettleUs);
    for (const auto& [id, exchange] : sim.exchanges) {
      CheckExchange(sim, exchange);
    }
    for (const auto& [name, agent] : sim.agents) {
      RC_ASSERT(agent.wrong_resumes == 0U);
    }
    RC_ASSERT(sim.runs_after_not_run == 0U);
    CheckClean(sim);
  });
  CHECK(held);
}

// Guards against a second run of an order that is resent through any entry,
// and against the outcome `not_run` for an order that ran or runs later.
TEST_CASE("an order sent through any entries runs at most once under faults") {
  const bool held = CheckSchedules([](std::uint64_t seed) {
    world sim(seed, 3, 4);
    sim.faults = {
        .duplicate = 10, .reorder = 10, .refuse = 20, .control_loss = 15};
    DrawFaults(sim, static_cast<int>(sim.Random(5)),
               static_cast<int>(sim.Random(2)));
    for (int i = 0; i < 6; ++i) {
      SendOrder(sim, i);
    }
    sim.RunFor(kSettleUs + 90'000'000);
    for (const auto& [body, runs] : sim.runs_of_body) {
      RC_ASSERT(runs <= 1U);
    }
    for (const auto& [id, exchange] : sim.exchanges) {
      CheckExchange(sim, exchange);
    }
    RC_ASSERT(sim.runs_after_not_run == 0U);
    CheckClean(sim);
  });
  CHECK(held);
}

// A request whose body has this word crashes each server that runs it.
constexpr const char* kPoison = "poison";

std::string Prompt(const std::string& text) {
  return R"({"model":"m","prompt":")" + text + "\"}";
}

std::string Chat(const std::vector<std::string>& messages) {
  std::string list;
  for (const std::string& message : messages) {
    list += list.empty() ? "" : ",";
    list += R"({"role":"user","content":")" + message + "\"}";
  }
  return R"({"model":"m","messages":[)" + list + "]}";
}

// Chats with a message in common, no two alike, crashed server after server,
// because only whole requests were quarantined.
TEST_CASE("a message that crashes servers is quarantined in any chat") {
  static constexpr std::size_t kCrashesBeforeTheBound = 5;
  static constexpr base::time_us kReactionUs = 3'000'000;
  static constexpr int kMaxLaterRuns = 3;
  const bool held = CheckSchedules([](std::uint64_t seed) {
    world sim(seed, 2, 8);
    std::vector<base::time_us> crashes;
    int later_runs = 0;
    sim.on_run = [&](const std::string& agent, const wire::submit& work) {
      if (work.body.find(kPoison) == std::string::npos) {
        return;
      }
      later_runs +=
          crashes.size() >= kCrashesBeforeTheBound &&
                  sim.now() > crashes[kCrashesBeforeTheBound - 1] + kReactionUs
              ? 1
              : 0;
      crashes.push_back(sim.now());
      sim.At(1, [&sim, agent] { sim.Crash(agent, 500'000); });
    };
    std::vector<std::uint64_t> sound;
    std::vector<std::uint64_t> crashing;
    for (int i = 0; i < 24; ++i) {
      sim.At(i * 1'500'000, [&, i] {
        sound.push_back(sim.Send(i % 2, "POST", "/v1/chat/completions",
                                 Chat({"system", std::to_string(i)})));
      });
      sim.At(i * 1'500'000 + 700'000, [&, i] {
        crashing.push_back(
            sim.Send(i % 2, "POST", "/v1/chat/completions",
                     Chat({"system", kPoison, std::to_string(i)})));
      });
    }
    sim.RunFor(60'000'000);
    RC_ASSERT(later_runs <= kMaxLaterRuns);
    RC_ASSERT(sim.exchanges[crashing.back()].status == 422U);
    RC_ASSERT(OutcomeIn(sim.exchanges[crashing.back()]) == "not_run");
    for (const std::uint64_t id : sound) {
      RC_ASSERT(sim.exchanges[id].status == 200U);
    }
    CheckClean(sim);
  });
  CHECK(held);
}

// Guards against a crashing request that reaches a third server, and against
// failing other requests that ran beside it. The request never completes: a
// crash after its response says nothing about it.
TEST_CASE("a crashing request reaches at most two servers; others succeed") {
  const bool held = CheckSchedules([](std::uint64_t seed) {
    world sim(seed, 2, 8);
    for (auto& [name, agent] : sim.agents) {
      agent.never_finishes = [](const wire::submit& work) {
        return work.body.find(kPoison) != std::string::npos;
      };
    }
    std::set<std::string> poisoned;
    sim.on_run = [&](const std::string& agent, const wire::submit& work) {
      if (work.body.find(kPoison) != std::string::npos) {
        poisoned.insert(agent + std::to_string(sim.now()));
        sim.At(1'000 + static_cast<base::time_us>(sim.Random(100'000)),
               [&sim, agent] { sim.Crash(agent, 500'000); });
      }
    };
    std::vector<std::uint64_t> innocent;
    for (int i = 0; i < 12; ++i) {
      sim.At(static_cast<base::time_us>(sim.Random(600'000)), [&, i] {
        innocent.push_back(sim.Send(static_cast<int>(sim.Random(2)), "POST",
                                    "/v1/completions",
                                    Prompt(std::to_string(i))));
      });
    }
    std::uint64_t culprit = 0;
    sim.At(static_cast<base::time_us>(sim.Random(400'000)), [&] {
      culprit = sim.Send(0, "POST", "/v1/completions", Prompt(kPoison));
    });
    sim.RunFor(20'000'000);
    // Resends through both entries after the request has failed.
    const std::uint64_t again[] = {
        sim.Send(0, "POST", "/v1/completions", Prompt(kPoison)),
        sim.Send(1, "POST", "/v1/completions", Prompt(kPoison))};
    sim.RunFor(20'000'000);
    RC_ASSERT(poisoned.size() <= 2U);
    RC_ASSERT(sim.exchanges[culprit].status == 422U);
    RC_ASSERT(OutcomeIn(sim.exchanges[culprit]) == "unknown" ||
              OutcomeIn(sim.exchanges[culprit]) == "ran");
    for (const std::uint64_t id : again) {
      RC_ASSERT(sim.exchanges[id].status == 422U);
    }
    for (const std::uint64_t id : innocent) {
      RC_ASSERT(sim.exchanges[id].status == 200U);
    }
    RC_ASSERT(sim.control.quarantine.size() == 1U);
    CheckClean(sim);
  });
  CHECK(held);
}

}  // namespace wisteriaroute::entry_test
