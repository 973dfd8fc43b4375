#ifndef LIBWISTERIAROUTE_NET_MEMORY_BUDGET_H_
#define LIBWISTERIAROUTE_NET_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wisteriaroute::net {

/** What bytes are held for. */
enum class memory_use : std::uint8_t {
  /** Input of callers that isn't a complete request yet. */
  kInput,
  /** Requests that are kept for their attempts. */
  kRequests,
  /** Answers of servers that aren't complete yet. */
  kAnswers,
  /** Output that callers haven't taken yet. */
  kOutput,
};
inline constexpr std::size_t kMemoryUses = 4;

/** Name of a use, for metrics. */
std::string_view ToString(memory_use use);

/**
 * Counts the bytes that a process holds for callers and servers, in total and
 * for each workspace. The parts that hold them decide what to do about it.
 */
class memory_budget {
 public:
  explicit memory_budget(std::size_t limit_bytes) { SetLimit(limit_bytes); }
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  void SetLimit(std::size_t limit_bytes);

  std::size_t used() const { return used_; }
  std::size_t used(memory_use use) const;
  std::size_t used_by(std::string_view workspace) const;
  std::size_t limit() const { return limit_; }
  /** Limit for the requests and the output of one workspace. */
  std::size_t workspace_limit() const { return limit_ / 2; }

  bool Fits(std::size_t bytes) const { return used_ + bytes <= limit_; }
  bool Fits(std::string_view workspace, std::size_t bytes) const;

 private:
  friend class memory_charge;
  void Change(memory_use use,
              std::string_view workspace,
              std::size_t from,
              std::size_t to);

  std::size_t limit_ = 0;
  std::size_t used_ = 0;
  std::array<std::size_t, kMemoryUses> by_use_{};
  std::map<std::string, std::size_t, std::less<>> by_workspace_;
};

/** Bytes that are counted in a budget until this is destroyed. */
class memory_charge {
 public:
  /** Counts nothing if `budget` is null. The budget must outlive this. */
  memory_charge(memory_budget* budget, memory_use use)
      : budget_(budget), use_(use) {}
  ~memory_charge() { Set(0); }
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;

  void Set(std::size_t bytes);
  /** Counts the bytes for a workspace as well. */
  void SetWorkspace(std::string_view workspace);

  std::size_t bytes() const { return bytes_; }
  const std::string& workspace() const { return workspace_; }

 private:
  memory_budget* budget_;
  memory_use use_;
  std::size_t bytes_ = 0;
  std::string workspace_;
};

/** Memory for callers and servers in a process that may use `memory_mb`. */
std::size_t BudgetBytes(std::int64_t memory_mb);

/**
 * Makes the allocator return large blocks to the system when they are freed. By
 * default it keeps them, so that the process stays as large as it ever was.
 */
void ReturnFreedMemory();

/** How the descriptors of a process are shared out. */
struct descriptor_plan {
  /** Connections of callers. */
  unsigned callers = 0;
  /** Requests in progress, each with a connection to a server. */
  unsigned requests = 0;
};

/**
 * Shares out `max_fds` descriptors; some are reserved for files, links to
 * control, probes, idle connections to servers and the metrics address.
 */
descriptor_plan PlanDescriptors(std::int64_t max_fds,
                                std::int64_t max_connections);

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_MEMORY_BUDGET_H_
