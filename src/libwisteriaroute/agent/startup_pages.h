#ifndef LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_
#define LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_

namespace wisteriaroute::agent {

/**
 * Releases the resident pages of program text to reduce memory use: start-up
 * touches almost all of them. Pages that are used later are mapped again from
 * the page cache.
 */
void ReleaseStartupPages();

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_STARTUP_PAGES_H_
