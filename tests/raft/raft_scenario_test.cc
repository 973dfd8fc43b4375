#include <doctest/doctest.h>

#include "tests/raft/cluster.h"

namespace wisteriaroute::raft {
namespace {

constexpr base::time_us kSecond = 1'000'000;

/** Cuts the links between replicas of different groups. */
void Partition(cluster& replicas, const std::vector<std::string>& groups) {
  replicas.cut_links.clear();
  const auto group_of = [&](const std::string& name) {
    for (std::size_t i = 0; i < groups.size(); ++i) {
      if (groups[i].find(name) != std::string::npos) {
        return i;
      }
    }
    return groups.size() + static_cast<std::size_t>(name[0]);
  };
  for (const auto& a : replicas.nodes) {
    for (const auto& b : replicas.nodes) {
      if (group_of(a.name) != group_of(b.name)) {
        replicas.cut_links.insert({a.name, b.name});
      }
    }
  }
  replicas.network.clear();
}

/** Makes `name` win an election among the replicas that it can reach. */
void Elect(cluster& replicas, const std::string& name) {
  for (int i = 0; i < 200; ++i) {
    replicas.now_us += kTickPeriodUs;
    replicas.Run(replicas.Get(name), tick{});
    replicas.SyncAndDeliverAll();
    if (replicas.Get(name).state.current_role == role::kLeader) {
      return;
    }
  }
  FAIL("no election of " << name);
}

TEST_CASE("a snapshot limits the bytes of the log before it") {
  constexpr std::size_t kKeepBytes = 64;
  cluster replicas(3, 0, {.keep_entries = 100, .keep_bytes = kKeepBytes});
  replicas.RunFor(2 * kSecond);
  cluster::node* leader = replicas.Leader();
  REQUIRE(leader != nullptr);
  for (int i = 0; i < 50; ++i) {
    replicas.Propose(*leader);
    replicas.SyncAndDeliverAll();
  }
  replicas.Snapshot(*leader);
  const replicated_log& log = leader->state.log;
  std::size_t bytes = 0;
  for (std::uint64_t i = log.first_index(); i <= log.last_index(); ++i) {
    bytes += log.At(i).payload.size();
  }
  CHECK(bytes <= kKeepBytes);
  CHECK(bytes > kKeepBytes / 2);
}

TEST_CASE("a leader is replaced within 3 s and the old one steps down") {
  cluster replicas(3, 0, {});
  replicas.RunFor(2 * kSecond);
  cluster::node* first = replicas.Leader();
  REQUIRE(first != nullptr);
  const std::string old = first->name;
  const std::string others = old == "a" ? "bc" : old == "b" ? "ac" : "ab";
  Partition(replicas, {old, others});
  replicas.Propose(*first);
  replicas.Read(*first);
  const base::time_us since = replicas.now_us;
  while (replicas.Leader()->name == old) {
    replicas.RunFor(kTickPeriodUs);
    REQUIRE(replicas.now_us - since < 3 * kSecond);
  }
  replicas.RunFor(kSecond);
  CHECK(first->state.current_role != role::kLeader);
  CHECK(replicas.results.at(1).status == proposal_status::kUnknown);
  CHECK(replicas.reads_confirmed == 0);
}

TEST_CASE("a leadership transfer makes the target the leader") {
  cluster replicas(3, 0, {});
  Elect(replicas, "a");
  replicas.SyncAndDeliverAll();
  replicas.Run(replicas.Get("a"), transfer_leadership{"c"});
  replicas.SyncAndDeliverAll();
  CHECK(replicas.Leader()->name == "c");
  replicas.RunFor(kSecond);
  CHECK(replicas.Leader()->name == "c");
}

// Without pre-vote, a replica that was partitioned returns with a higher term
// and deposes the leader.
TEST_CASE("a replica that was partitioned doesn't depose the leader") {
  cluster replicas(3, 0, {});
  Elect(replicas, "a");
  Partition(replicas, {"ab", "c"});
  replicas.RunFor(5 * kSecond);
  replicas.cut_links.clear();
  replicas.RunFor(2 * kSecond);
  CHECK(replicas.Leader()->name == "a");
  CHECK(replicas.Get("c").state.metadata.term == 2);

  // c receives from all but the leader; the others still receive from it.
  replicas.cut_links = {{"a", "c"}};
  replicas.RunFor(5 * kSecond);
  CHECK(replicas.Leader()->name == "a");
  CHECK(replicas.Get("a").state.metadata.term == 2);
}

bool IsAppend(const cluster::packet& packet) {
  return std::holds_alternative<wire::append_request>(packet.message);
}

// An entry of an older term that is on a majority can still be overwritten, so
// a leader must not commit it by counting replicas.
TEST_CASE("an entry of an older term isn't committed by counting replicas") {
  cluster replicas(5, 0, {});
  cluster::node& a = replicas.Get("a");
  Elect(replicas, "a");
  Partition(replicas, {"ab", "cde"});
  replicas.Propose(a);
  replicas.SyncAndDeliverAll();
  const std::uint64_t index = replicas.Get("b").state.log.last_index();
  // e leads in the next term; its no-op reaches no other replica.
  replicas.is_lost = IsAppend;
  Elect(replicas, "e");
  // a leads again with its old entry and a no-op of the new term.
  replicas.Crash(a);
  replicas.Start(a);
  Partition(replicas, {"abc"});
  Elect(replicas, "a");
  const std::uint64_t before = a.state.commit_index;
  REQUIRE(a.state.log.TermAt(index) < a.state.metadata.term);
  for (const char* name : {"b", "c"}) {
    replicas.Run(
        a, received{name, wire::append_reply{.term = a.state.metadata.term,
                                             .identity = kBootstrapIdentity,
                                             .success = true,
                                             .match_index = index}});
  }
  CHECK(a.state.commit_index == before);
  // e overwrites the entry, so it must not have been committed.
  Partition(replicas, {"cde"});
  replicas.is_lost = [](const cluster::packet&) { return false; };
  replicas.RunFor(3 * kSecond);
  CHECK(replicas.Get("d").state.commit_index >= index);
}

// Quorums of two replica sets that differ by two voters may be disjoint, so
// each change must be committed before the next.
TEST_CASE(
    "a replica set change is refused until the previous one is committed") {
  cluster replicas(3, 2, {});
  cluster::node& a = replicas.Get("a");
  const auto add = [&](std::uint64_t id, const std::string& name) {
    replicas.Run(a, change_replicas{.proposal_id = id,
                                    .name = name,
                                    .address = name + ":1",
                                    .promote_when_ready = true});
  };
  replicas.RunFor(2 * kSecond);
  Partition(replicas, {});
  replicas.RunFor(2 * kSecond);
  REQUIRE(replicas.Leader() == nullptr);
  // The new leader can't commit an entry of its own term.
  replicas.cut_links.clear();
  replicas.is_lost = IsAppend;
  Elect(replicas, "a");
  add(101, "d");
  CHECK(replicas.results.at(101).status == proposal_status::kDropped);
  replicas.is_lost = [](const cluster::packet&) { return false; };
  replicas.RunFor(kSecond);
  REQUIRE(replicas.Leader() == &a);
  add(102, "d");
  add(103, "e");
  CHECK(replicas.results.at(103).status == proposal_status::kDropped);
  replicas.RunFor(kSecond);
  CHECK(replicas.results.at(102).status == proposal_status::kCommitted);
  CHECK(IsVoter(replicas.Get("d").state));

  // Promoting a replica without the log would allow a quorum that lacks
  // entries.
  replicas.is_lost = [](const cluster::packet& one) {
    const auto* append = std::get_if<wire::append_request>(&one.message);
    return one.to == "e" && append != nullptr && !append->entries.empty();
  };
  add(105, "e");
  replicas.RunFor(kSecond);
  CHECK_FALSE(FindReplica(a.state, "e")->voter);
  replicas.is_lost = [](const cluster::packet&) { return false; };
  replicas.RunFor(kSecond);
  CHECK(FindReplica(a.state, "e")->voter);

  replicas.Run(a, change_replicas{.proposal_id = 104,
                                  .change = replica_change::kRemove,
                                  .name = "a"});
  replicas.RunFor(2 * kSecond);
  CHECK(a.state.current_role == role::kFollower);
  CHECK(Replicas(replicas.Leader()->state).size() == 4);
}

// Only a has the entry, so b can't win an election. If a didn't stand for
// election because its own log removes it, no leader could be elected.
TEST_CASE(
    "a leader that crashes while it removes itself completes the removal") {
  cluster replicas(2, 0, {});
  cluster::node& a = replicas.Get("a");
  Elect(replicas, "a");
  replicas.RunFor(kSecond / 2);
  REQUIRE(replicas.Leader() == &a);
  Partition(replicas, {});
  replicas.Run(a, change_replicas{.proposal_id = 101,
                                  .change = replica_change::kRemove,
                                  .name = "a"});
  replicas.SyncAndDeliverAll();
  replicas.Crash(a);
  replicas.Start(a);
  replicas.cut_links.clear();
  replicas.RunFor(4 * kSecond);
  REQUIRE(replicas.Leader() != nullptr);
  CHECK(replicas.Leader()->name == "b");
  CHECK(Replicas(replicas.Leader()->state).size() == 1);
}

// b voted for d and then lost its disk. It must not count towards a quorum of
// the older leader a.
TEST_CASE(
    "a wiped voter doesn't count towards the quorum of an isolated old "
    "leader") {
  cluster replicas(5, 0, {});
  cluster::node& b = replicas.Get("b");
  Elect(replicas, "a");
  Partition(replicas, {"ac", "bde"});
  Elect(replicas, "d");
  replicas.Propose(replicas.Get("d"));
  replicas.SyncAndDeliverAll();
  REQUIRE(replicas.acknowledged.size() == 1);
  replicas.Wipe(b);
  replicas.Start(b);
  Partition(replicas, {"abc", "de"});
  replicas.Propose(replicas.Get("a"));
  replicas.SyncAndDeliverAll();
  CHECK(replicas.acknowledged.size() == 1);
  CHECK_FALSE(IsVoter(b.state));

  replicas.cut_links.clear();
  replicas.RunFor(4 * kSecond);
  CHECK(replicas.Get("a").machine.starts_with("p1\n"));
  REQUIRE(IsVoter(b.state));

  // A second replica loses its disk right after the first was repaired.
  const std::string lost = replicas.Leader()->name;
  replicas.Wipe(*replicas.Leader());
  replicas.RunFor(4 * kSecond);
  REQUIRE(replicas.Leader() != nullptr);
  CHECK(replicas.Leader()->machine.starts_with("p1\n"));
  replicas.Start(replicas.Get(lost));
  replicas.RunFor(4 * kSecond);
  CHECK(IsVoter(replicas.Get(lost).state));
}

// The sync of an entry must not count for the entry that overwrote it.
TEST_CASE(
    "truncating the log also reverts its replica set and its synced index") {
  raft_state c = MakeState(
      "c", MakeBootstrapped({{.name = "a"}, {.name = "b"}, {.name = "c"}}));
  const auto append = [&](const std::string& from, std::uint64_t term,
                          wire::entry_kind kind, std::string payload) {
    Step(c,
         received{from,
                  wire::append_request{
                      .term = term,
                      .round = 1,
                      .previous_index = 1,
                      .previous_term = 1,
                      .entries = {{.term = term,
                                   .index = 2,
                                   .kind = kind,
                                   .payload = std::move(payload)}}}},
         1);
  };
  append("a", 2, wire::entry_kind::kReplicas,
         wire::EncodeReplicas({{.name = "z"}}));
  CHECK(FindReplica(c, "z") != nullptr);
  const std::uint64_t old_sequence = c.last_sequence;
  append("b", 3, wire::entry_kind::kNoOp, {});
  CHECK(FindReplica(c, "z") == nullptr);
  CHECK(Replicas(c).size() == 3);
  Step(c, persisted{old_sequence}, 2);
  CHECK(c.synced_index == 1);
  Step(c, persisted{c.last_sequence}, 3);
  CHECK(c.synced_index == 2);
}

}  // namespace
}  // namespace wisteriaroute::raft
