#include "control/raft_runner.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "control/bootstrap.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::control {

namespace {

constexpr std::chrono::milliseconds kDiskRetryPeriod(200);

/** Whether the error may pass, unlike that of a wrong path. */
bool IsDiskFailure(const std::system_error& error) {
  constexpr std::array kFailures = {ENOSPC, EDQUOT, EFBIG, EIO};
  return std::ranges::find(kFailures, error.code().value()) != kFailures.end();
}

/** Calls `function` until the disk doesn't fail it; returns its result. */
template <typename Function>
auto RetryWhileDiskFails(Function function) {
  for (bool logged = false;; logged = true) {
    try {
      return function();
    } catch (const std::system_error& error) {
      if (!IsDiskFailure(error)) {
        throw;
      }
      if (!logged) {
        base::LogError("disk_not_writable", {{"cause", error.what()}});
      }
    }
    std::this_thread::sleep_for(kDiskRetryPeriod);
  }
}

storage::log_store OpenStore(const std::string& directory) {
  return RetryWhileDiskFails([&] { return storage::log_store(directory); });
}

}  // namespace

raft_runner::raft_runner(net::loop& event_loop,
                         const control_settings& settings,
                         raft_runner_callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      store_(OpenStore(settings.data_dir)),
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
               .on_disk_failed =
                   [this](const std::string& reason) {
                     SetDiskWritable(false, reason);
                   },
               .on_disk_recovered = [this] { SetDiskWritable(true, {}); },
               .on_failed =
                   [this](const std::string& reason) {
                     callbacks_.on_failed(reason);
                   }}),
      tick_(event_loop.ev(), [this] { Post(raft::tick{}); }) {}

void raft_runner::SetDiskWritable(bool writable, const std::string& reason) {
  if (writable) {
    base::LogInfo("disk_writable", {{"term", state_.metadata.term}});
  } else {
    base::LogError("disk_not_writable",
                   {{"cause", reason},
                    {"role", raft::ToString(state_.current_role)},
                    {"term", state_.metadata.term}});
  }
  Post(raft::disk_state_changed{writable});
}

raft::stored_state raft_runner::Open(const control_settings& settings) {
  bool again = false;
  return RetryWhileDiskFails([&] {
    if (std::exchange(again, true)) {
      store_.Reopen();
    }
    return OpenOnce(settings);
  });
}

raft::stored_state raft_runner::OpenOnce(const control_settings& settings) {
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
