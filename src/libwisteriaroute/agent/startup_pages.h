#ifndef LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_
#define LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_

namespace wisteriaroute::agent {

/**
 * Unmaps the pages of program text, which start-up has touched almost all
 * over. Those that are used again are mapped again from the page cache.
 */
void ReleaseStartupPages();

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_
