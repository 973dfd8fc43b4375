#ifndef LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_
#define LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace wisteriaroute::policy {

/** A backend server that can be chosen for a request. */
struct server_candidate {
  /** Estimated number of running and waiting requests. */
  double load = 0;
  /** Requests that the server runs at the same time. */
  double slots = 1;
  /** Requests that may wait beyond the slots; a negative value keeps slots
   * free.
   */
  double queue = 0;
};

/**
 * Returns the index of a candidate chosen at random among those with nearly the
 * lowest load per slot, so that entries with the same load reports don't all
 * choose the same server. Returns nothing if all candidates are full.
 */
std::optional<std::size_t> ChooseServer(
    std::span<const server_candidate> candidates,
    std::uint64_t random);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_
