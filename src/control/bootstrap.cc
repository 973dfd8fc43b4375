#include "control/bootstrap.h"

#include <stdexcept>

#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/log_store.h"

namespace wisteriaroute::control {

wire::replica_list FirstVoters(const control_settings& settings) {
  wire::replica_list voters;
  for (const replica_address& replica : settings.replicas) {
    voters.push_back({.name = replica.name,
                      .address = replica.address,
                      .identity = raft::kBootstrapIdentity,
                      .voter = true});
  }
  return voters;
}

void Bootstrap(const control_settings& settings) {
  const raft::stored_state voters =
      raft::MakeBootstrapped(FirstVoters(settings));
  storage::log_store store(settings.data_dir);
  if (!store.empty()) {
    const raft::stored_state found = store.TakeContent();
    if (found.metadata == voters.metadata && !found.latest_snapshot &&
        found.entries == voters.entries) {
      return;
    }
    throw std::runtime_error(settings.data_dir +
                             " already contains replica data");
  }
  store.Initialize(voters);
}

}  // namespace wisteriaroute::control
