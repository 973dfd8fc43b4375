#include "control/bootstrap.h"

#include <stdexcept>

#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/log_store.h"

namespace wisteriaroute::control {

void Bootstrap(const control_settings& settings) {
  storage::log_store store(settings.data_dir);
  if (!store.empty()) {
    throw std::runtime_error(settings.data_dir +
                             " belongs to a replica already");
  }
  wire::replica_list voters;
  for (const replica_address& replica : settings.replicas) {
    voters.push_back({.name = replica.name,
                      .address = replica.address,
                      .identity = raft::kBootstrapIdentity,
                      .voter = true});
  }
  store.Initialize(raft::MakeBootstrapped(voters));
}

}  // namespace wisteriaroute::control
