#include "control/raft_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "control/bootstrap.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::control {

raft_runner::raft_runner(net::loop& event_loop,
                         const control_settings& settings,
                         raft_runner_callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      store_(settings.data_dir),
      state_(raft::MakeState(
          settings.process.name,
          Open(settings),
          {.keep_entries = static_cast<std::uint64_t>(settings.kept_entries)})),
      writer_(event_loop.ev(),
              store_,
              {.on_persisted =
                   [this](std::uint64_t sequence) {
                     Post(raft::persisted{sequence});
                   },
               .on_failed =
                   [this](const std::string& reason) {
                     callbacks_.on_failed(reason);
                   }}),
      tick_(event_loop.ev(), [this] { Post(raft::tick{}); }) {}

raft::stored_state raft_runner::Open(const control_settings& settings) {
  if (store_.completed_initialization()) {
    base::LogInfo("data_directory_completed", {{"path", settings.data_dir}});
  }
  if (!store_.empty()) {
    return store_.TakeContent();
  }
  const bool first_voter =
      settings.bootstrap &&
      std::ranges::any_of(settings.replicas, [&](const auto& replica) {
        return replica.name == settings.process.name;
      });
  if (first_voter) {
    store_.Initialize(raft::MakeBootstrapped(FirstVoters(settings)));
    base::LogInfo("data_directory_created",
                  {{"path", settings.data_dir}, {"voter", "first"}});
    return store_.TakeContent();
  }
  store_.Initialize(raft::MakeEmpty(base::RandomU64()));
  base::LogInfo("data_directory_created",
                {{"path", settings.data_dir},
                 {"voter", "after it has received the log"}});
  return store_.TakeContent();
}

void raft_runner::Start() {
  Post(raft::random_seed{base::RandomU64()});
  tick_.Start(raft::kTickPeriodUs, raft::kTickPeriodUs);
}

const raft::snapshot* raft_runner::stored_snapshot() const {
  return state_.latest_snapshot.get();
}

void raft_runner::Post(raft::event event) {
  queue_.push_back(std::move(event));
  if (std::exchange(handling_events_, true)) {
    return;
  }
  while (!queue_.empty()) {
    const raft::event next = std::move(queue_.front());
    queue_.pop_front();
    Handle(next);
  }
  handling_events_ = false;
}

void raft_runner::Handle(const raft::event& event) {
  std::vector<raft::effect> effects =
      raft::Step(state_, event, base::MonotonicUs());
  LogLostVoters();
  for (raft::effect& effect : effects) {
    if (auto* batch = std::get_if<raft::persist>(&effect)) {
      writer_.Submit(std::move(*batch));
    } else {
      callbacks_.on_effect(std::move(effect));
    }
  }
}

void raft_runner::LogLostVoters() {
  if (logged_losses_.size() == state_.lost_voters.size()) {
    return;
  }
  for (const auto& [name, identity] : state_.lost_voters) {
    if (logged_losses_.emplace(name, identity).second) {
      base::LogInfo("voter_lost_disk", {{"name", name},
                                        {"identity", identity},
                                        {"term", state_.metadata.term}});
    }
  }
}

}  // namespace wisteriaroute::control
