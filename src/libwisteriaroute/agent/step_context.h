#ifndef LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/agent/agent.h"

namespace wisteriaroute::agent {

/** What the handlers of one step share. For the reducer's own files. */
struct step_context {
  agent_state& state;
  base::time_us now_us = 0;
  std::vector<agent_effect> effects;

  void Emit(agent_effect effect) { effects.push_back(std::move(effect)); }
  void Send(net::link_id link, wire::work_message message) {
    Emit(send_work{link, std::move(message)});
  }
  void Count(std::string_view series) {
    Emit(count_metric{std::string(series)});
  }
};

// Messages of entries (work.cc).
void HandleWork(step_context& context,
                net::link_id link,
                const wire::work_message& message);
void HandleEntryDown(step_context& context, net::link_id link);

// Life of attempts (attempts.cc).
/** Starts attempts of the queue while slots are free. */
void StartQueued(step_context& context);
/** Sends to all links that follow the attempt. */
void Publish(step_context& context,
             const attempt& target,
             const wire::work_message& message);
/** Ids are passed by value: callers name those in the containers that change.
 */
void EndNeverRun(step_context& context,
                 wire::attempt_id id,
                 wire::refusal_reason reason);
void EndFailed(step_context& context,
               wire::attempt_id id,
               wire::failure_reason reason,
               wire::outcome ran,
               const std::vector<base::digest128>& ran_beside = {});
/** What is known of a started attempt that has no whole response. */
wire::outcome RanSoFar(const attempt& target);
/** Deadlines, silent streams, attempts without an entry. */
void CheckAttempts(step_context& context);
void RememberUntil(agent_state& state,
                   const wire::attempt_id& id,
                   attempt& target,
                   std::uint64_t window);
void BeginWindow(step_context& context);
/** Keeps the responses' memory within its limit. */
void LimitKeptBytes(step_context& context);
std::size_t SlotCount(const agent_state& state);

// Events of calls (calls.cc).
void Handle(step_context& context, const call_head& event);
void Handle(step_context& context, const call_data& event);
void Handle(step_context& context, const call_finished& event);
void Handle(step_context& context, const call_failed& event);

// Health (health.cc).
void Handle(step_context& context, const health_result& event);
void CheckHealth(step_context& context);
void ChangeIncarnation(agent_state& state);
/** Polls at once; returns the number of the poll. */
std::uint64_t PollHealth(step_context& context);

// Orders (orders.cc).
void HandleOrder(step_context& context, const wire::order& received);
void Handle(step_context& context, const order_answered& event);
void Handle(step_context& context, const group_result& event);
void CheckGroup(step_context& context);
/** The backend server was lost with maps that it was copying. */
void FailStaging(step_context& context);

// Reports to entries and control (reports.cc).
void GreetEntry(step_context& context, net::link_id link);
void Handle(step_context& context, const load_result& event);
void Handle(step_context& context, const cache_result& event);
void CheckReports(step_context& context);
void ReportState(step_context& context);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_
