#ifndef LIBWISTERIAROUTE_ENTRY_AGENTS_H_
#define LIBWISTERIAROUTE_ENTRY_AGENTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Most agents of one model or service that an entry dials for dispatch. */
inline constexpr std::size_t kMaxLinksPerPool = 64;

void HandleMemberUpdate(step_context& step, const wire::member_update& update);
void HandleLinkUp(step_context& step, const agent_link_up& event);
void HandleLinkDown(step_context& step, const agent_link_down& event);
void HandleAgentState(step_context& step,
                      net::link_id link,
                      const wire::agent_state& message);
void HandleLoad(step_context& step,
                net::link_id link,
                const wire::load_report& message);
void HandleCacheHint(step_context& step,
                     net::link_id link,
                     const wire::cache_hint& message);

/** Recomputes which agents serve each model and service. */
void RebuildPools(step_context& step);

/** Dials the agents that this entry needs links to and undials the others. */
void UpdateDials(step_context& step);

/**
 * Handles an attempt whose link was lost: retries or fails the request when
 * the agent is gone or no new link came up within `reattach_ms`. May close the
 * request.
 */
void CheckDetached(step_context& step, request_state& request);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_AGENTS_H_
