#include "libwisteriaroute/raft/step_context.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wisteriaroute::raft {

namespace {

/** xorshift64*. Timeouts must differ but needn't be unpredictable. */
std::uint64_t NextRandom(raft_state& state) {
  state.rng_state ^= state.rng_state >> 12;
  state.rng_state ^= state.rng_state << 25;
  state.rng_state ^= state.rng_state >> 27;
  return state.rng_state * 0x2545f4914f6cdd1d;
}

void AbandonLeadership(step_context& step) {
  for (const pending_proposal& one : step.state.leader.proposals) {
    step.effects.emplace_back(proposal_result{
        .proposal_id = one.proposal_id, .status = proposal_status::kUnknown});
  }
  for (const pending_read& one : step.state.leader.reads) {
    step.effects.emplace_back(read_failed{.read_id = one.read_id});
  }
  step.state.leader = {};
}

void CapSyncedIndex(raft_state& state, std::uint64_t last_index) {
  state.synced_index = std::min(state.synced_index, last_index);
  for (pending_persist& one : state.unsynced) {
    one.last_index = std::min(one.last_index, last_index);
  }
}

std::ptrdiff_t VoterCount(const wire::replica_list& replicas) {
  return std::ranges::count_if(
      replicas, [](const wire::replica& one) { return one.voter; });
}

/** Number of voters that are in only one of the sets. */
std::ptrdiff_t VoterDifference(const wire::replica_list& a,
                               const wire::replica_list& b) {
  const auto only_in = [](const wire::replica_list& in,
                          const wire::replica_list& other) {
    return std::ranges::count_if(in, [&](const wire::replica& one) {
      const wire::replica* same = FindIn(other, one.name);
      return one.voter && (same == nullptr || !same->voter ||
                           same->identity != one.identity);
    });
  };
  return only_in(a, b) + only_in(b, a);
}

/** The nth largest value; 0 if there are fewer. */
std::int64_t NthLargest(std::vector<std::int64_t> values, std::size_t n) {
  if (n == 0 || n > values.size()) {
    return 0;
  }
  const auto nth = values.begin() + static_cast<long>(n - 1);
  std::nth_element(values.begin(), nth, values.end(), std::greater<>());
  return *nth;
}

}  // namespace

void Send(step_context& step, std::string_view to, wire::raft_message message) {
  const wire::replica* receiver = FindReplica(step.state, to);
  step.effects.emplace_back(send_message{
      .to = std::string(to),
      .address = receiver == nullptr ? std::string() : receiver->address,
      .message = std::move(message)});
}

void MarkMetadata(step_context& step) {
  step.batch.metadata = step.state.metadata;
  step.batch_needed = true;
  // The sequence that FlushLog will assign to the batch of this step.
  step.state.metadata_sequence = step.state.last_sequence + 1;
}

bool MetadataSynced(const raft_state& state) {
  return state.synced_sequence >= state.metadata_sequence;
}

void TruncateLog(step_context& step, std::uint64_t index) {
  step.state.log.TruncateFrom(index);
  step.state.flush_from = std::min(step.state.flush_from, index);
  CapSyncedIndex(step.state, index - 1);
  step.batch.truncate_from = step.batch.truncate_from == 0
                                 ? index
                                 : std::min(step.batch.truncate_from, index);
  step.batch_needed = true;
}

void ResetLog(step_context& step, const snapshot& base) {
  step.state.log.Reset(base.last_index, base.last_term, base.replicas);
  step.state.flush_from = base.last_index + 1;
  // Pending syncs of the old log don't count for the new one.
  CapSyncedIndex(step.state, 0);
  step.batch.reset_log_to = base.last_index + 1;
  step.batch.truncate_from = 0;
  step.batch_needed = true;
}

bool FlushLog(step_context& step) {
  raft_state& state = step.state;
  const std::uint64_t end = state.log.last_index() + 1;
  // While a sync is in progress, the leader batches proposals for the next one.
  const bool flush_entries =
      state.flush_from < end &&
      (state.current_role != role::kLeader || state.unsynced.empty() ||
       step.batch_needed ||
       end - state.flush_from >= state.options.max_append_entries);
  if (!flush_entries && !step.batch_needed) {
    return false;
  }
  if (flush_entries) {
    step.batch.entries = state.log.Slice(
        state.flush_from, end, std::numeric_limits<std::size_t>::max());
    state.flush_from = end;
  }
  step.batch.sequence = ++state.last_sequence;
  state.unsynced.push_back(
      {.sequence = state.last_sequence, .last_index = state.flush_from - 1});
  step.effects.emplace_back(std::exchange(step.batch, {}));
  step.batch_needed = false;
  return flush_entries;
}

void CommitTo(step_context& step, std::uint64_t index) {
  raft_state& state = step.state;
  index = std::min(index, state.log.last_index());
  if (index <= state.commit_index) {
    return;
  }
  state.commit_index = index;
  step.effects.emplace_back(
      apply_entries{state.log.Slice(state.applied_index + 1, index + 1,
                                    std::numeric_limits<std::size_t>::max())});
  state.applied_index = index;
}

void ResetElectionDeadline(step_context& step) {
  const raft_options& options = step.state.options;
  const auto spread = static_cast<std::uint64_t>(options.election_max_us -
                                                 options.election_min_us + 1);
  step.state.election_deadline_us =
      step.now_us + options.election_min_us +
      static_cast<base::time_us>(NextRandom(step.state) % spread);
}

void BecomeFollower(step_context& step,
                    std::uint64_t term,
                    const std::string& leader) {
  raft_state& state = step.state;
  if (state.current_role == role::kLeader) {
    AbandonLeadership(step);
  }
  if (term > state.metadata.term) {
    state.metadata.term = term;
    state.metadata.voted_for.clear();
    state.pending_vote_to.clear();
    MarkMetadata(step);
  }
  state.current_role = role::kFollower;
  state.leader_name = leader;
  state.votes.clear();
  state.votes_after_loss.clear();
  state.asked_identity = 0;
  state.leader_match = 0;
  state.reported_match = 0;
  state.last_leader_round = 0;
  state.reported_round = 0;
  state.incoming_snapshot.reset();
  ResetElectionDeadline(step);
}

// Half of an even number of voters decide if one of the others is lost: the
// other half then has too few voters to decide anything. This holds also while
// both halves lose voters, because a decision of one half needs contributions
// that were given after it knew of a loss in the other: if both halves had
// decided, each loss would have come before the other.
std::int64_t QuorumOf(const raft_state& state,
                      const wire::replica_list& replicas,
                      quorum kind,
                      const contribution_of& of) {
  std::vector<std::int64_t> all;
  std::vector<std::int64_t> after_loss;
  bool has_lost = false;
  for (const wire::replica& one : replicas) {
    if (!one.voter) {
      continue;
    }
    const contribution given = of(one);
    all.insert(all.end(), one.casting_vote ? 2 : 1, given.value);
    if (state.lost_voters.contains({one.name, one.identity})) {
      has_lost = true;
    } else if (given.after_loss) {
      after_loss.push_back(given.value);
    }
  }
  const std::int64_t value = NthLargest(all, all.size() / 2 + 1);
  const bool half_decides = kind == quorum::kHalfAfterLoss && has_lost &&
                            all.size() % 2 == 0 && !HasCastingVote(replicas);
  return half_decides ? std::max(value, NthLargest(after_loss, all.size() / 2))
                      : value;
}

// Quorums of sets that differ by more than one vote may have none in common, so
// until such a change is certain a quorum of both is needed. For other changes
// the following holds. Majorities of two sets that differ by one voter
// have a voter in common, but a half of one set and a majority of the other may
// have none. So until a change is certain, a half of the new set needs a
// majority of the old one besides, and a majority of the new set the agreement
// of an even old one. Of the two sets, one is even.
std::int64_t QuorumValue(const raft_state& state, const contribution_of& of) {
  const wire::replica_list& current = Replicas(state);
  const wire::replica_list* previous = PreviousReplicas(state);
  if (previous == nullptr) {
    return QuorumOf(state, current, quorum::kHalfAfterLoss, of);
  }
  if (VoterDifference(current, *previous) > 1 || HasCastingVote(current) ||
      HasCastingVote(*previous)) {
    return std::min(QuorumOf(state, current, quorum::kHalfAfterLoss, of),
                    QuorumOf(state, *previous, quorum::kHalfAfterLoss, of));
  }
  const std::int64_t majority = QuorumOf(state, current, quorum::kMajority, of);
  if (VoterCount(*previous) % 2 == 0) {
    return std::min(majority,
                    QuorumOf(state, *previous, quorum::kHalfAfterLoss, of));
  }
  return std::max(majority,
                  std::min(QuorumOf(state, current, quorum::kHalfAfterLoss, of),
                           QuorumOf(state, *previous, quorum::kMajority, of)));
}

const wire::replica* FindDecider(const raft_state& state,
                                 std::string_view name) {
  const wire::replica* found = nullptr;
  ForEachReplica(state, [&](const wire::replica& one) {
    found = one.name == name ? &one : found;
  });
  return found;
}

bool NoteLostVoter(raft_state& state,
                   const std::string& name,
                   std::uint64_t asked) {
  const auto is_voter = [&](const wire::replica_list& replicas) {
    return std::ranges::any_of(replicas, [&](const wire::replica& one) {
      return one.voter && one.name == name && one.identity == asked;
    });
  };
  const wire::replica_list* previous = PreviousReplicas(state);
  if (!is_voter(Replicas(state)) &&
      (previous == nullptr || !is_voter(*previous))) {
    return false;
  }
  if (!state.lost_voters.emplace(name, asked).second) {
    return false;
  }
  state.votes_after_loss.clear();
  state.leader.round_after_loss = state.leader.round + 1;
  return true;
}

}  // namespace wisteriaroute::raft
