#ifndef LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_
#define LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace wisteriaroute::policy {

/** A backend server that may run a request. */
struct server_candidate {
  /** Requests that run or wait there, as estimated. */
  double load = 0;
  /** Requests that it runs at once. */
  double slots = 1;
  /** Requests that may wait there beyond its slots; below 0 it is filled less.
   */
  double queue = 0;
};

/**
 * The candidate with the lowest load per slot, drawn among those that are
 * nearly as good, so that entries with the same reports don't all choose the
 * same one. Nothing if all candidates are full.
 */
std::optional<std::size_t> ChooseServer(
    std::span<const server_candidate> candidates,
    std::uint64_t random);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_SERVER_CHOICE_H_
