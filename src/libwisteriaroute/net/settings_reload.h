#ifndef LIBWISTERIAROUTE_NET_SETTINGS_RELOAD_H_
#define LIBWISTERIAROUTE_NET_SETTINGS_RELOAD_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::net {

/** Names of changed settings that take effect only after a restart. */
using restart_list = std::vector<std::string>;

/**
 * Reloads the settings file of a running process at SIGHUP, and when a poll
 * finds that its text has changed. Logs each reload and its result.
 */
class settings_reload {
 public:
  /**
   * Applies the settings in `text`. If they are invalid, adds findings to `out`
   * and changes nothing.
   */
  using apply_function =
      std::function<restart_list(std::string_view text, base::findings& out)>;

  /** Does nothing if `file` is empty. Throws if it can't be read. */
  settings_reload(loop& event_loop, std::string file, apply_function apply);

 private:
  enum class trigger { kSignal, kPoll };

  void CheckFile(trigger why);

  std::string file_;
  apply_function apply_;
  std::string text_;
  timer poll_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_SETTINGS_RELOAD_H_
