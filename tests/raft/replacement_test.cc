#include <doctest/doctest.h>

#include <algorithm>

#include "tests/raft/cluster.h"

namespace wisteriaroute::raft {
namespace {

constexpr base::time_us kSecond = 1'000'000;

void AddHost(cluster& replicas, const std::string& name) {
  static std::uint64_t id = 1'000;
  replicas.Run(*replicas.Leader(), change_replicas{.proposal_id = ++id,
                                                   .name = name,
                                                   .address = name + ":1",
                                                   .promote_when_ready = true});
  replicas.RunFor(2 * kSecond);
  REQUIRE(IsVoter(replicas.Get(name).state));
}

void RemoveHost(cluster& replicas, const std::string& name) {
  static std::uint64_t id = 2'000;
  replicas.Run(*replicas.Leader(),
               change_replicas{.proposal_id = ++id,
                               .change = replica_change::kRemove,
                               .name = name});
  replicas.RunFor(kSecond);
}

void LoseDisk(cluster& replicas, const std::string& name) {
  replicas.Wipe(replicas.Get(name));
}

void Restart(cluster& replicas, const std::string& name) {
  replicas.Crash(replicas.Get(name));
  replicas.Start(replicas.Get(name));
}

/** Whether there is a leader that has all that was acknowledged and commits. */
bool Decides(cluster& replicas) {
  cluster::node* leader = replicas.Leader();
  if (leader == nullptr) {
    return false;
  }
  for (const std::string& payload : replicas.acknowledged) {
    if (payload[0] == 'p' &&
        leader->machine.find(payload + "\n") == std::string::npos) {
      return false;
    }
  }
  const std::size_t before = replicas.acknowledged.size();
  replicas.Propose(*leader);
  replicas.RunFor(kSecond / 2);
  return replicas.acknowledged.size() == before + 1;
}

enum class loss { kAtOnce, kDiskFirst, kHostFirst, kWithRestarts };

/** The host is gone for good and the other one's disk is lost. */
void LoseBoth(cluster& replicas,
              const std::string& removed,
              const std::string& lost,
              loss order) {
  if (order == loss::kDiskFirst) {
    LoseDisk(replicas, lost);
    replicas.RunFor(kSecond / 4);
  }
  replicas.Crash(replicas.Get(removed));
  if (order == loss::kHostFirst) {
    replicas.RunFor(kSecond);
  }
  LoseDisk(replicas, lost);
  if (order == loss::kWithRestarts) {
    for (const cluster::node& one : replicas.nodes) {
      if (one.alive) {
        Restart(replicas, one.name);
      }
    }
  }
}

// Guards against review/2: a host had been replaced and its predecessor was
// gone for good, but still had a vote, when another host lost its disk. Two of
// four voters were left, and control never had a leader again.
TEST_CASE("a replaced host and a lost disk leave a cluster that decides") {
  for (const bool remove_leader : {true, false}) {
    for (const loss order : {loss::kAtOnce, loss::kDiskFirst, loss::kHostFirst,
                             loss::kWithRestarts}) {
      CAPTURE(remove_leader);
      CAPTURE(static_cast<int>(order));
      cluster replicas(3, 2, {});
      replicas.RunFor(2 * kSecond);
      REQUIRE(Decides(replicas));
      std::string removed = replicas.Leader()->name;
      if (!remove_leader) {
        removed = removed == "c" ? "b" : "c";
      }
      const std::string lost = removed == "b" ? "a" : "b";
      AddHost(replicas, "d");
      REQUIRE(Decides(replicas));
      LoseBoth(replicas, removed, lost, order);
      replicas.RunFor(3 * kSecond);
      // Until it is known that the disk is lost, half of the voters don't
      // decide: the other half may be cut off.
      CHECK(replicas.Leader() == nullptr);

      replicas.Start(replicas.Get(lost));
      replicas.RunFor(4 * kSecond);
      REQUIRE(Decides(replicas));
      CHECK(IsVoter(replicas.Get(lost).state));
      RemoveHost(replicas, removed);
      CHECK(FindReplica(replicas.Leader()->state, removed) == nullptr);
      REQUIRE(Decides(replicas));

      // The next host in the series.
      AddHost(replicas, "e");
      const std::string next = replicas.Leader()->name;
      LoseBoth(replicas, next == "d" ? lost : "d", next, order);
      replicas.RunFor(2 * kSecond);
      replicas.Start(replicas.Get(next));
      replicas.RunFor(5 * kSecond);
      CHECK(Decides(replicas));
    }
  }
}

TEST_CASE("a disk is lost during the change of the replica set") {
  cluster replicas(3, 1, {});
  replicas.RunFor(2 * kSecond);
  const std::string leader = replicas.Leader()->name;
  const std::string lost = leader == "b" ? "c" : "b";
  SUBCASE("before the new host is known") {
    LoseDisk(replicas, lost);
    replicas.Start(replicas.Get(lost));
    replicas.RunFor(4 * kSecond);
    AddHost(replicas, "d");
  }
  SUBCASE("as it is added") {
    replicas.Run(*replicas.Leader(),
                 change_replicas{.proposal_id = 3'000,
                                 .name = "d",
                                 .address = "d:1",
                                 .promote_when_ready = true});
    LoseDisk(replicas, lost);
    replicas.Start(replicas.Get(lost));
    replicas.RunFor(4 * kSecond);
  }
  SUBCASE("it is that of the new host") {
    AddHost(replicas, "d");
    LoseDisk(replicas, "d");
    replicas.Start(replicas.Get("d"));
    replicas.RunFor(4 * kSecond);
  }
  CHECK(IsVoter(replicas.Get("d").state));
  CHECK(IsVoter(replicas.Get(lost).state));
  CHECK(Decides(replicas));
}

TEST_CASE("of six voters one is replaced and two disks are lost") {
  cluster replicas(5, 1, {});
  replicas.RunFor(2 * kSecond);
  AddHost(replicas, "f");
  REQUIRE(Decides(replicas));
  replicas.Crash(replicas.Get("a"));
  LoseDisk(replicas, "b");
  LoseDisk(replicas, "c");
  replicas.RunFor(3 * kSecond);
  CHECK(replicas.Leader() == nullptr);
  replicas.Start(replicas.Get("b"));
  replicas.RunFor(2 * kSecond);
  replicas.Start(replicas.Get("c"));
  replicas.RunFor(5 * kSecond);
  REQUIRE(Decides(replicas));
  CHECK(IsVoter(replicas.Get("b").state));
  CHECK(IsVoter(replicas.Get("c").state));
}

void Cut(cluster& replicas, const std::string& group) {
  replicas.cut_links.clear();
  for (const auto& a : replicas.nodes) {
    for (const auto& b : replicas.nodes) {
      if ((group.find(a.name) == std::string::npos) !=
          (group.find(b.name) == std::string::npos)) {
        replicas.cut_links.insert({a.name, b.name});
      }
    }
  }
  replicas.network.clear();
}

TEST_CASE("no half decides while the other may") {
  cluster replicas(3, 1, {});
  replicas.RunFor(2 * kSecond);
  AddHost(replicas, "d");
  REQUIRE(Decides(replicas));
  SUBCASE("without a lost disk") {
    Cut(replicas, "ab");
    replicas.RunFor(4 * kSecond);
    CHECK(replicas.Leader() == nullptr);
  }
  SUBCASE("with a lost disk in one half, of which the other can't know") {
    LoseDisk(replicas, "b");
    replicas.Start(replicas.Get("b"));
    Cut(replicas, "ab");
    replicas.RunFor(4 * kSecond);
    CHECK(replicas.Leader() == nullptr);
  }
  SUBCASE("one voter with a lost one") {
    LoseDisk(replicas, "b");
    replicas.Start(replicas.Get("b"));
    replicas.Crash(replicas.Get("c"));
    replicas.Crash(replicas.Get("d"));
    replicas.RunFor(4 * kSecond);
    CHECK(replicas.Leader() == nullptr);
  }
  replicas.cut_links.clear();
  for (cluster::node& one : replicas.nodes) {
    if (!one.alive) {
      replicas.Start(one);
    }
  }
  replicas.RunFor(5 * kSecond);
  CHECK(Decides(replicas));
}

void ConnectOnly(cluster& replicas, const std::vector<std::string>& pairs) {
  Cut(replicas, "");
  for (const auto& a : replicas.nodes) {
    for (const auto& b : replicas.nodes) {
      if (std::ranges::none_of(pairs, [&](const std::string& pair) {
            return pair == a.name + b.name || pair == b.name + a.name;
          })) {
        replicas.cut_links.insert({a.name, b.name});
      }
    }
  }
}

// Both halves lose a disk, one after the other. If what the lost voter had
// acknowledged before counted for its half, both would decide.
TEST_CASE("only replies that follow a loss count for a half") {
  cluster replicas(3, 1, {});
  cluster::node& a = replicas.Get("a");
  cluster::node& c = replicas.Get("c");
  replicas.RunFor(2 * kSecond);
  AddHost(replicas, "d");
  replicas.Run(*replicas.Leader(), transfer_leadership{"a"});
  replicas.RunFor(kSecond);
  REQUIRE(replicas.Leader() == &a);
  Cut(replicas, "ab");
  replicas.Propose(a);
  replicas.SyncAndDeliverAll();
  REQUIRE(replicas.Get("b").state.log.last_index() == a.state.log.last_index());

  LoseDisk(replicas, "b");
  replicas.Start(replicas.Get("b"));
  ConnectOnly(replicas, {"bc", "cd"});
  for (int i = 0; i < 200 && c.state.current_role != role::kLeader; ++i) {
    replicas.now_us += kTickPeriodUs;
    replicas.Run(c, tick{});
    replicas.SyncAndDeliverAll();
  }
  REQUIRE(c.state.current_role == role::kLeader);
  replicas.Propose(c);
  replicas.SyncAndDeliverAll();
  REQUIRE(c.state.commit_index == c.state.log.last_index());

  LoseDisk(replicas, "d");
  replicas.Start(replicas.Get("d"));
  ConnectOnly(replicas, {"ad"});
  REQUIRE(a.state.current_role == role::kLeader);
  const std::uint64_t committed = a.state.commit_index;
  replicas.Propose(a);
  replicas.SyncAndDeliverAll();
  CHECK(a.state.lost_voters.size() == 1);
  CHECK(a.state.commit_index == committed);
}

// A reply of an earlier identity that arrives late says nothing of the current
// one.
TEST_CASE("a late reply of an earlier identity doesn't demote a voter") {
  cluster replicas(3, 0, {});
  replicas.RunFor(2 * kSecond);
  cluster::node& leader = *replicas.Leader();
  const std::string lost = leader.name == "b" ? "c" : "b";
  const std::uint64_t earlier = replicas.Get(lost).state.metadata.identity;
  LoseDisk(replicas, lost);
  replicas.Start(replicas.Get(lost));
  replicas.RunFor(4 * kSecond);
  REQUIRE(replicas.Leader() == &leader);
  REQUIRE(IsVoter(replicas.Get(lost).state));
  const std::size_t changes = leader.seen_replicas.size();
  replicas.Run(leader, received{lost, wire::append_reply{
                                          .term = leader.state.metadata.term,
                                          .identity = earlier,
                                          .round = 1,
                                          .success = true,
                                          .match_index = 1,
                                          .asked_identity = earlier}});
  replicas.RunFor(kSecond / 2);
  CHECK(leader.seen_replicas.size() == changes);
  CHECK(FindReplica(leader.state, lost)->voter);
  CHECK(IsVoter(replicas.Get(lost).state));
}

}  // namespace
}  // namespace wisteriaroute::raft
