#include "libwisteriaroute/net/memory_budget.h"

#include <malloc.h>

#include <algorithm>

namespace wisteriaroute::net {

namespace {

constexpr std::size_t kMib = 1024 * 1024;
// A process with the configuration and the servers of a deployment, but without
// requests: measured 13 MiB with the tests' configuration.
constexpr std::size_t kProcessBytes = 32 * kMib;
constexpr std::size_t kMinBudgetBytes = 24 * kMib;
// Strings have up to twice the capacity that they need while they grow, and the
// allocator and the kernel's socket buffers need memory that isn't counted.
constexpr std::size_t kBudgetPercent = 60;

constexpr int kLargeBlockBytes = 64 * 1024;
constexpr int kTrimBytes = 1024 * 1024;

// The platform reserves 200 descriptors for files. The others are for
// listeners, links to control, probes, the metrics address, and connections to
// servers that are idle.
constexpr std::int64_t kReservedDescriptors = 200 + 264;
constexpr std::int64_t kMinDescriptors = 32;

}  // namespace

std::string_view ToString(memory_use use) {
  constexpr std::array<std::string_view, kMemoryUses> kNames = {
      "input", "requests", "answers", "output"};
  return kNames.at(static_cast<std::size_t>(use));
}

void memory_budget::SetLimit(std::size_t limit_bytes) {
  limit_ = limit_bytes;
}

std::size_t memory_budget::used(memory_use use) const {
  return by_use_.at(static_cast<std::size_t>(use));
}

std::size_t memory_budget::used_by(std::string_view workspace) const {
  const auto found = by_workspace_.find(workspace);
  return found == by_workspace_.end() ? 0 : found->second;
}

bool memory_budget::Fits(std::string_view workspace, std::size_t bytes) const {
  return used_by(workspace) + bytes <= workspace_limit();
}

void memory_budget::Change(memory_use use,
                           std::string_view workspace,
                           std::size_t from,
                           std::size_t to) {
  used_ += to - from;
  by_use_.at(static_cast<std::size_t>(use)) += to - from;
  if (workspace.empty() || from == to) {
    return;
  }
  auto found = by_workspace_.find(workspace);
  if (found == by_workspace_.end()) {
    found = by_workspace_.emplace(workspace, 0).first;
  }
  found->second += to - from;
  if (found->second == 0) {
    by_workspace_.erase(found);
  }
}

void memory_charge::Set(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->Change(use_, workspace_, bytes_, bytes);
  }
  bytes_ = bytes;
}

void memory_charge::SetWorkspace(std::string_view workspace) {
  const std::size_t bytes = bytes_;
  Set(0);
  workspace_ = workspace;
  Set(bytes);
}

std::size_t BudgetBytes(std::int64_t memory_mb) {
  const std::size_t all = static_cast<std::size_t>(memory_mb) * kMib;
  const std::size_t free = all > kProcessBytes ? all - kProcessBytes : 0;
  return std::max(free / 100 * kBudgetPercent, kMinBudgetBytes);
}

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

descriptor_plan PlanDescriptors(std::int64_t max_fds,
                                std::int64_t max_connections) {
  const std::int64_t free =
      std::max(max_fds - kReservedDescriptors, 2 * kMinDescriptors);
  // A request needs one descriptor for its caller and one for its server, and
  // callers keep idle connections.
  const std::int64_t callers = std::min(free * 2 / 3, max_connections);
  return {.callers = static_cast<unsigned>(callers),
          .requests = static_cast<unsigned>(free - free * 2 / 3)};
}

}  // namespace wisteriaroute::net
