#ifndef LIBWISTERIAROUTE_BASE_END_PROCESS_H_
#define LIBWISTERIAROUTE_BASE_END_PROCESS_H_

namespace wisteriaroute::base {

/**
 * Ends a process whose work is done, at once: nothing is left to destructors of
 * static objects, some of which wait for threads of libraries.
 */
[[noreturn]] void EndProcess(int status);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_END_PROCESS_H_
