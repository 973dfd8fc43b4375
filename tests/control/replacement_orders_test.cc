#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "libwisteriaroute/raft/step_context.h"
#include "tests/control/managed_cluster.h"

// All orders of a replacement and the next losses, on the real reducers. See
// docs/design/control-membership.md.

namespace wisteriaroute::control {
namespace {

constexpr base::time_us kCatchUp = 4 * kSecond;
// A silent voter loses its vote after 1.5 s; its leader has to be elected
// first.
constexpr base::time_us kVoteTaken = 3 * kSecond;

enum class loss_kind { kForGood, kWithDisk, kRestart };

struct replacement_order {
  unsigned tolerated = 1;
  /** Hosts that run beside the first 2f + 1 and the successor. */
  unsigned further_hosts = 0;
  bool predecessor_leads = false;
  bool notice = false;
  base::time_us gap_us = 0;
  /** Bit i: the ith host that is left is lost. */
  unsigned lost = 0;
  loss_kind kind = loss_kind::kForGood;
};

bool Decide(const raft::raft_state& state,
            const wire::replica_list* only,
            unsigned subset) {
  const auto of = [&](const wire::replica& one) -> raft::contribution {
    return {.value = (subset >> (one.name[0] - 'a')) & 1U, .after_loss = true};
  };
  const std::int64_t value =
      only == nullptr
          ? raft::QuorumValue(state, of)
          : raft::QuorumOf(state, *only, raft::quorum::kHalfAfterLoss, of);
  return value > 0;
}

/**
 * Checks that any two quorums have a replica in common: those of the sets that
 * decide now, and before and after a change that isn't certain yet.
 */
void CheckQuorumsMeet(const raft::raft_state& state, std::size_t hosts) {
  const unsigned all = (1U << hosts) - 1;
  const wire::replica_list* previous = raft::PreviousReplicas(state);
  for (unsigned subset = 0; subset <= all; ++subset) {
    if (!Decide(state, nullptr, subset)) {
      continue;
    }
    const unsigned rest = all & ~subset;
    raft::Require(!Decide(state, nullptr, rest), "two quorums don't meet");
    if (previous != nullptr) {
      raft::Require(!Decide(state, previous, rest) &&
                        !Decide(state, &raft::Replicas(state), rest),
                    "quorums of two replica sets don't meet");
    }
  }
}

class order_run {
 public:
  explicit order_run(const replacement_order& order)
      : order_(order),
        system_(order.tolerated,
                2 * order.tolerated + 1,
                order.further_hosts + 1) {}

  /** Whether control decides after the last loss. */
  bool Play() {
    const unsigned first = 2 * order_.tolerated + 1;
    for (unsigned i = 0; i < order_.further_hosts; ++i) {
      system_.Start(raft::cluster::Name(first + i));
    }
    RunFor(order_.further_hosts > 0 ? 2 * kCatchUp : 0);
    raft::Require(system_.Decides(), "control decides before the order");
    successor_ = raft::cluster::Name(first + order_.further_hosts);
    system_.Start(successor_);
    RunFor(kCatchUp);
    RemovePredecessor();
    RunFor(order_.gap_us);
    LoseOthers();
    RunFor(kCatchUp);
    return system_.Decides();
  }

  bool successor_lost() const { return successor_lost_; }

 private:
  void RunFor(base::time_us duration) {
    for (base::time_us done = 0; done < duration; done += raft::kTickPeriodUs) {
      system_.RunFor(raft::kTickPeriodUs);
      CheckStates();
    }
  }

  void CheckStates() {
    for (const raft::cluster::node& one : system_.replicas.nodes) {
      const auto seen = std::pair(one.state.log.replicas_revision(),
                                  raft::PreviousReplicas(one.state) != nullptr);
      if (one.alive && checked_[one.name] != seen) {
        checked_[one.name] = seen;
        CheckQuorumsMeet(one.state, system_.replicas.nodes.size());
      }
    }
  }

  void RemovePredecessor() {
    std::string predecessor = system_.replicas.Leader()->name;
    if (!order_.predecessor_leads || predecessor == successor_) {
      predecessor = predecessor == "a" ? "b" : "a";
    }
    if (order_.notice) {
      system_.Terminate(predecessor);
      while (!system_.HasStopped(predecessor)) {
        RunFor(raft::kTickPeriodUs);
      }
    } else {
      system_.Lose(predecessor);
    }
  }

  void LoseOthers() {
    std::vector<std::string> lost;
    unsigned i = 0;
    for (const raft::cluster::node& one : system_.replicas.nodes) {
      if (one.alive && ((order_.lost >> i++) & 1U) != 0) {
        lost.push_back(one.name);
      }
    }
    for (const std::string& name : lost) {
      successor_lost_ = successor_lost_ || name == successor_;
      system_.Lose(name);
      if (order_.kind == loss_kind::kWithDisk) {
        system_.replicas.Wipe(system_.replicas.Get(name));
      }
    }
    RunFor(kSecond);
    if (order_.kind != loss_kind::kForGood) {
      for (const std::string& name : lost) {
        system_.Start(name);
      }
    }
  }

  replacement_order order_;
  managed_cluster system_;
  std::string successor_;
  bool successor_lost_ = false;
  std::map<std::string, std::pair<std::uint64_t, bool>> checked_;
};

/**
 * The one kind of order that control can't bear: see the proof in
 * docs/design/control-membership.md.
 */
bool MayBeLost(const replacement_order& order, bool successor_lost) {
  return !order.notice && order.further_hosts == 0 &&
         order.gap_us < kVoteTaken && successor_lost &&
         order.kind != loss_kind::kRestart;
}

struct result_counts {
  int held = 0;
  int cannot_hold = 0;
  int lost = 0;
};

void PlayOrder(const replacement_order& order, result_counts& counts) {
  CAPTURE(order.tolerated);
  CAPTURE(order.further_hosts);
  CAPTURE(order.predecessor_leads);
  CAPTURE(order.notice);
  CAPTURE(order.gap_us);
  CAPTURE(order.lost);
  CAPTURE(static_cast<int>(order.kind));
  order_run run(order);
  bool decides = false;
  CHECK_NOTHROW(decides = run.Play());
  if (decides) {
    ++counts.held;
  } else if (MayBeLost(order, run.successor_lost())) {
    ++counts.cannot_hold;
  } else {
    ++counts.lost;
    CHECK(decides);
  }
}

/** Plays each order in which `tolerated` hosts are lost after the removal. */
result_counts PlayOrders(unsigned tolerated, unsigned further_hosts) {
  result_counts counts;
  const unsigned left = 2 * tolerated + 1 + further_hosts;
  for (const bool leads : {false, true}) {
    for (const bool notice : {false, true}) {
      for (const base::time_us gap :
           {base::time_us{0}, kSecond / 50, kSecond / 2, kSecond,
            7 * kSecond / 5, 3 * kSecond}) {
        for (unsigned lost = 0; lost < 1U << left; ++lost) {
          if (static_cast<unsigned>(__builtin_popcount(lost)) != tolerated) {
            continue;
          }
          for (const loss_kind kind :
               {loss_kind::kForGood, loss_kind::kWithDisk,
                loss_kind::kRestart}) {
            PlayOrder({.tolerated = tolerated,
                       .further_hosts = further_hosts,
                       .predecessor_leads = leads,
                       .notice = notice,
                       .gap_us = gap,
                       .lost = lost,
                       .kind = kind},
                      counts);
          }
        }
      }
    }
  }
  MESSAGE("tolerated " << tolerated << ", further hosts " << further_hosts
                       << ": " << counts.held << " held, " << counts.cannot_hold
                       << " can't hold, " << counts.lost << " lost");
  return counts;
}

// Guards against review/2 and review/12: after a machine of control had been
// removed without notice, one more loss ended control for good.
TEST_CASE("one machine is removed and as many are lost as must be borne") {
  const char* deep = std::getenv("REPLACEMENT_ORDERS");
  SUBCASE("three hosts and a successor") {
    CHECK(PlayOrders(1, 0).lost == 0);
  }
  SUBCASE("four hosts and a successor") {
    CHECK(PlayOrders(1, 1).lost == 0);
  }
  SUBCASE("five hosts that bear two losses, and a successor") {
    CHECK(PlayOrders(2, 0).lost == 0);
  }
  if (deep != nullptr) {
    SUBCASE("five to nine hosts") {
      for (unsigned further = 2; further <= 5; ++further) {
        CHECK(PlayOrders(1, further).lost == 0);
      }
      for (unsigned further = 1; further <= 3; ++further) {
        CHECK(PlayOrders(2, further).lost == 0);
      }
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::control
