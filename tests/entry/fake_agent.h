#ifndef TESTS_ENTRY_FAKE_AGENT_H_
#define TESTS_ENTRY_FAKE_AGENT_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::entry_test {

/** Token `i` of the response to a generation body. */
inline std::string Token(const std::string& body, std::uint64_t i) {
  return std::to_string(base::Hash64(body) % 997) + "." + std::to_string(i) +
         " ";
}

inline std::uint64_t TokenCount(const std::string& body) {
  return 1 + base::Hash64(body) % 12;
}

inline std::string WholeText(const std::string& body) {
  std::string text;
  for (std::uint64_t i = 0; i < TokenCount(body); ++i) {
    text += Token(body, i);
  }
  return text;
}

/**
 * An agent with its backend server. Implements the rules of an agent that
 * matter to an entry: an attempt starts at most once, an attempt that was
 * queried before it arrived never starts, and responses are kept for `attach`.
 */
class fake_agent {
 public:
  enum class phase { kNeverRuns, kRunning, kFinished, kFailed };
  struct attempt_run {
    wire::submit work;
    phase state = phase::kRunning;
    std::set<std::uint64_t> links;
    std::uint64_t produced = 0;
  };

  std::string name;
  std::uint64_t incarnation = 1;
  std::uint64_t window = 1;
  bool healthy = true;
  /** Sends to an entry over a link. */
  std::function<void(std::uint64_t link, wire::work_message)> send;
  /** Called once when an attempt starts at the backend server. */
  std::function<void(const wire::submit&)> on_run;
  /** Whether the next submit is refused. */
  std::function<bool()> refuse_submit;
  /** Whether the response of a request stops before its last token. */
  std::function<bool(const wire::submit&)> never_finishes =
      [](const wire::submit&) { return false; };
  std::set<std::uint64_t> links;
  std::map<wire::attempt_id, attempt_run> runs;
  /** Attempts that resumed with a text other than the response so far. */
  unsigned wrong_resumes = 0;

  wire::agent_state State() const {
    return {.name = name,
            .backend_incarnation = incarnation,
            .window = window,
            .healthy = healthy,
            .accepting = healthy,
            .models = {}};
  }

  void SendState() {
    for (const std::uint64_t link : links) {
      send(link, State());
    }
  }

  void Receive(std::uint64_t link, const wire::work_message& message) {
    std::visit([&](const auto& each) { Handle(link, each); }, message);
  }

  void LinkDown(std::uint64_t link) {
    links.erase(link);
    for (auto& [id, each] : runs) {
      each.links.erase(link);
    }
  }

  /** Produces the next part of every response in progress. */
  void Advance() {
    for (auto& [id, each] : runs) {
      if (each.state == phase::kRunning) {
        AdvanceOne(id, each);
      }
    }
  }

  /**
   * Crashes the backend server. Returns the fingerprints of the requests that
   * ran there.
   */
  std::vector<base::digest128> Crash() {
    std::vector<base::digest128> beside;
    for (const auto& [id, each] : runs) {
      if (each.state == phase::kRunning) {
        beside.push_back(each.work.fingerprint);
      }
    }
    for (auto& [id, each] : runs) {
      if (each.state == phase::kRunning) {
        each.state = phase::kFailed;
        Publish(each, wire::failed{.attempt = id,
                                   .reason = wire::failure_reason::kBackendLost,
                                   .ran = wire::outcome::kUnknown,
                                   .ran_beside = beside});
      }
    }
    healthy = false;
    ++incarnation;
    SendState();
    return beside;
  }

  void Recover() {
    healthy = true;
    SendState();
  }

 private:
  void Publish(const attempt_run& run, const wire::work_message& message) {
    for (const std::uint64_t link : run.links) {
      send(link, message);
    }
  }

  static bool Plain(const attempt_run& run) {
    return run.work.kind == wire::work_kind::kPlain;
  }

  static std::string PlainBody(const attempt_run& run) {
    return "done:" + run.work.body + WholeText(run.work.body);
  }

  void AdvanceOne(const wire::attempt_id& id, attempt_run& run) {
    if (Plain(run)) {
      const std::string body = PlainBody(run);
      const std::string part = body.substr(run.produced, 7);
      Publish(run, wire::chunk{id, run.produced, 0, part});
      run.produced += part.size();
      if (run.produced == body.size()) {
        Finish(id, run);
      }
      return;
    }
    if (run.produced + 1 >= TokenCount(run.work.body) &&
        never_finishes(run.work)) {
      return;
    }
    Publish(run, wire::chunk{id, run.produced, 1,
                             Token(run.work.body, run.produced)});
    if (++run.produced >= TokenCount(run.work.body)) {
      Finish(id, run);
    }
  }

  void Finish(const wire::attempt_id& id, attempt_run& run) {
    run.state = phase::kFinished;
    Publish(run, EndOf(id, run));
  }

  static wire::finish EndOf(const wire::attempt_id& id,
                            const attempt_run& run) {
    return {.attempt = id,
            .end_offset = run.produced,
            .reason = Plain(run) ? "" : "stop",
            .prompt_tokens = 3,
            .completion_tokens = static_cast<std::uint32_t>(run.produced)};
  }

  void Handle(std::uint64_t link, const wire::submit& work) {
    const auto known = runs.find(work.attempt);
    if (known != runs.end()) {
      if (known->second.state == phase::kNeverRuns) {
        send(link,
             wire::refused{work.attempt, wire::refusal_reason::kQueriedBefore});
      }
      return;
    }
    const bool beside_isolated =
        work.isolated && std::ranges::any_of(runs, [](const auto& item) {
          return item.second.state == phase::kRunning &&
                 item.second.work.isolated;
        });
    attempt_run& added = runs[work.attempt];
    added.work = work;
    const bool wrong_incarnation = work.backend_incarnation != incarnation;
    if (wrong_incarnation || !healthy || beside_isolated || refuse_submit()) {
      added.state = phase::kNeverRuns;
      send(link, wire::refused{
                     work.attempt,
                     wrong_incarnation ? wire::refusal_reason::kOtherIncarnation
                     : beside_isolated ? wire::refusal_reason::kSuspectRuns
                                       : wire::refusal_reason::kOverloaded});
      return;
    }
    added.links.insert(link);
    added.produced = work.resume_offset;
    std::string so_far;
    for (std::uint64_t i = 0; i < work.resume_offset; ++i) {
      so_far += Token(work.body, i);
    }
    if (work.resume_text != so_far) {
      ++wrong_resumes;
    }
    on_run(work);
    Publish(added, wire::head{work.attempt, 200, {{"x-test", "1"}}});
    if (!Plain(added) && added.produced >= TokenCount(work.body)) {
      Finish(work.attempt, added);
    }
  }

  void Handle(std::uint64_t link, const wire::cancel& message) {
    attempt_run& known = runs[message.attempt];
    if (known.work.attempt != message.attempt) {
      known.work.attempt = message.attempt;
      known.state = phase::kNeverRuns;
    } else if (known.state == phase::kRunning && !known.work.claimed) {
      known.state = phase::kFailed;
    }
    send(link, StatusOf(message.attempt, known));
  }

  static wire::attempt_status StatusOf(const wire::attempt_id& id,
                                       const attempt_run& run) {
    constexpr wire::attempt_phase kPhases[] = {
        wire::attempt_phase::kNeverRuns, wire::attempt_phase::kRunning,
        wire::attempt_phase::kFinished, wire::attempt_phase::kFailed};
    return {id, kPhases[static_cast<std::size_t>(run.state)]};
  }

  void Handle(std::uint64_t link, const wire::query& message) {
    const auto known = runs.find(message.attempt);
    if (known != runs.end()) {
      send(link, StatusOf(message.attempt, known->second));
      return;
    }
    if (message.backend_incarnation != incarnation) {
      send(link, wire::attempt_status{message.attempt,
                                      wire::attempt_phase::kForgotten});
      return;
    }
    attempt_run& tombstone = runs[message.attempt];
    tombstone.work.attempt = message.attempt;
    tombstone.state = phase::kNeverRuns;
    send(link, StatusOf(message.attempt, tombstone));
  }

  void Handle(std::uint64_t link, const wire::attach& message) {
    const auto known = runs.find(message.attempt);
    if (known == runs.end()) {
      send(link, wire::attempt_status{message.attempt,
                                      wire::attempt_phase::kForgotten});
      return;
    }
    attempt_run& run = known->second;
    if (run.state == phase::kNeverRuns || run.state == phase::kFailed) {
      send(link, StatusOf(message.attempt, run));
      return;
    }
    run.links.insert(link);
    send(link, wire::head{message.attempt, 200, {{"x-test", "1"}}});
    Replay(link, message, run);
    if (run.state == phase::kFinished) {
      send(link, EndOf(message.attempt, run));
    }
  }

  void Replay(std::uint64_t link,
              const wire::attach& message,
              const attempt_run& run) {
    if (Plain(run)) {
      send(link,
           wire::chunk{message.attempt, message.offset, 0,
                       PlainBody(run).substr(message.offset,
                                             run.produced - message.offset)});
      return;
    }
    for (std::uint64_t i = message.offset; i < run.produced; ++i) {
      send(link, wire::chunk{message.attempt, i, 1, Token(run.work.body, i)});
    }
  }

  template <typename Other>
  void Handle(std::uint64_t, const Other&) {}
};

}  // namespace wisteriaroute::entry_test

#endif  // TESTS_ENTRY_FAKE_AGENT_H_
