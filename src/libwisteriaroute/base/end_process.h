#ifndef LIBWISTERIAROUTE_BASE_END_PROCESS_H_
#define LIBWISTERIAROUTE_BASE_END_PROCESS_H_

namespace wisteriaroute::base {

/**
 * Flushes standard I/O and exits at once, without running exit handlers and
 * destructors of static objects: some of them wait for threads of libraries.
 */
[[noreturn]] void EndProcess(int status);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_END_PROCESS_H_
