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
  storage::log_store store(settings.data_dir);
  if (!store.empty()) {
    throw std::runtime_error(settings.data_dir +
                             " already contains replica data");
  }
  store.Initialize(raft::MakeBootstrapped(FirstVoters(settings)));
}

}  // namespace wisteriaroute::control
