#include "libwisteriaroute/net/settings_reload.h"

#include <csignal>
#include <system_error>
#include <utility>

#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute::net {

namespace {

// Well below the 2 s within which configuration changes take effect.
constexpr base::time_us kPollUs = 1'000'000;

std::string Join(const restart_list& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

}  // namespace

settings_reload::settings_reload(loop& event_loop,
                                 std::string file,
                                 apply_function apply)
    : file_(std::move(file)),
      apply_(std::move(apply)),
      poll_(event_loop.ev(), [this] { CheckFile(trigger::kPoll); }) {
  if (file_.empty()) {
    // The settings don't come from a file.
    return;
  }
  text_ = base::ReadFile(file_);
  event_loop.OnSignal(SIGHUP, [this] { CheckFile(trigger::kSignal); });
  poll_.Start(kPollUs, kPollUs);
}

void settings_reload::CheckFile(trigger why) {
  const char* cause = why == trigger::kSignal ? "signal" : "file changed";
  std::string text;
  try {
    text = base::ReadFile(file_);
  } catch (const std::system_error& error) {
    base::LogWarning(
        "reload",
        {{"cause", cause}, {"result", "unreadable"}, {"error", error.what()}});
    return;
  }
  if (text == text_) {
    if (why == trigger::kSignal) {
      base::LogInfo("reload", {{"cause", cause}, {"result", "unchanged"}});
    }
    return;
  }
  // A refused text isn't tried again until it changes.
  text_ = std::move(text);
  base::findings found;
  const restart_list restart = apply_(text_, found);
  if (!found.empty()) {
    base::LogError("reload", {{"cause", cause},
                              {"result", "refused"},
                              {"finding", base::ToString(found.front())},
                              {"findings", std::uint64_t{found.size()}}});
    return;
  }
  base::LogInfo("reload", {{"cause", cause},
                           {"result", "applied"},
                           {"needs_restart", Join(restart)}});
}

}  // namespace wisteriaroute::net
