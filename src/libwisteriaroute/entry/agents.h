#ifndef LIBWISTERIAROUTE_ENTRY_AGENTS_H_
#define LIBWISTERIAROUTE_ENTRY_AGENTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Links to agents of one model or service. */
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

/** Assigns agents to the models and services that they serve. */
void RebuildPools(step_context& step);

/** Dials the agents that this entry needs links to, and no others. */
void UpdateDials(step_context& step);

/** Ends the wait of an attempt whose link was lost. */
void CheckDetached(step_context& step, request& of);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_AGENTS_H_
