#ifndef LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/agent/agent.h"

namespace wisteriaroute::agent {

/** Shared by the handlers of one step. Internal to the reducer. */
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

// Messages from entries (work.cc).
void HandleWork(step_context& context,
                net::link_id link,
                const wire::work_message& message);
void HandleEntryDown(step_context& context, net::link_id link);

// Lifecycle of attempts (attempts.cc).
/** Starts queued attempts while slots are free and the server is healthy. */
void StartQueued(step_context& context);
/** Sends a message to all subscribers of the attempt. */
void SendToSubscribers(step_context& context,
                       const attempt& target,
                       const wire::work_message& message);
/**
 * Ends an attempt that did not run and tells its subscribers. The id is passed
 * by value because callers take it from containers that this call changes.
 */
void RefuseAttempt(step_context& context,
                   wire::attempt_id id,
                   wire::refusal_reason reason);
/**
 * Ends a started attempt as failed and tells its subscribers. The id is passed
 * by value as in RefuseAttempt.
 */
void FailAttempt(step_context& context,
                 wire::attempt_id id,
                 wire::failure_reason reason,
                 wire::outcome ran,
                 const std::vector<base::digest128>& ran_beside = {});
/** Outcome of a started attempt whose response is incomplete. */
wire::outcome OutcomeSoFar(const attempt& target);
/** Handles deadlines, stalled streams and attempts without subscribers. */
void CheckAttempts(step_context& context);
/** Remembers the attempt while `window` is the current or previous window. */
void RetainUntil(agent_state& state,
                 const wire::attempt_id& id,
                 attempt& target,
                 std::uint64_t window);
/** Begins the next window and forgets the ids of expired ones. */
void BeginWindow(step_context& context);
/**
 * Drops finished responses, oldest first, then the beginnings of the largest
 * running ones, until all are within `max_buffered_bytes`.
 */
void LimitBufferedBytes(step_context& context);
/** Maximum number of concurrent attempts. */
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
/** Sends a health poll now and returns its number. */
std::uint64_t PollHealth(step_context& context);

// Orders (orders.cc).
void HandleOrder(step_context& context, const wire::order& received);
void Handle(step_context& context, const order_answered& event);
void Handle(step_context& context, const group_result& event);
void CheckGroup(step_context& context);
/** Fails all incomplete stage orders after the backend server was lost. */
void FailPendingStageOrders(step_context& context);

// Reports to entries and control (reports.cc).
/** Sends the current state, load and cached blocks on a new link. */
void SendInitialReports(step_context& context, net::link_id link);
void Handle(step_context& context, const load_result& event);
void Handle(step_context& context, const cache_result& event);
void CheckReports(step_context& context);
/** Sends changes of the state to entries and of member data to control. */
void ReportState(step_context& context);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_STEP_CONTEXT_H_
