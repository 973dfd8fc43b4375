#include "libwisteriaroute/member/process_reload.h"

#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::member {

net::restart_list ReloadProcess(base::process_settings& current,
                                const base::process_settings& next) {
  net::restart_list restart;
  const auto compare = [&](const char* name, const auto& old, const auto& now) {
    if (old != now) {
      restart.emplace_back(name);
    }
  };
  compare("name", current.name, next.name);
  compare("region", current.region, next.region);
  compare("data_center", current.data_center, next.data_center);
  compare("listen", current.listen, next.listen);
  compare("listen_metrics", current.listen_metrics, next.listen_metrics);
  compare("advertise", current.advertise, next.advertise);
  compare("learn_controls", current.learn_controls, next.learn_controls);
  compare("cluster_key_file", current.cluster_key_file, next.cluster_key_file);
  compare("protocol", current.protocol, next.protocol);
  current.controls = next.controls;
  current.log_level = next.log_level;
  base::SetLogLevel(next.log_level);
  return restart;
}

}  // namespace wisteriaroute::member
