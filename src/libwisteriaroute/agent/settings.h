#ifndef LIBWISTERIAROUTE_AGENT_SETTINGS_H_
#define LIBWISTERIAROUTE_AGENT_SETTINGS_H_

#include <string>
#include <string_view>

#include "libwisteriaroute/agent/agent.h"
#include "libwisteriaroute/agent/engine_client.h"
#include "libwisteriaroute/base/process_settings.h"

namespace wisteriaroute::agent {

/** Settings file of `wisteriaroute-agent`. */
struct agent_settings {
  base::process_settings process;
  agent_options options;
  engine_client_options backend;
};

/** Parses TOML text. Throws base::findings_error with all errors found. */
agent_settings ParseSettings(std::string_view text, std::string_view file);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_SETTINGS_H_
