#ifndef LIBWISTERIAROUTE_RAFT_PEER_H_
#define LIBWISTERIAROUTE_RAFT_PEER_H_

#include <string>
#include <string_view>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

// Replication from the leader to one other replica.

/** Returns the progress of a replica; creates it if the replica is new. */
peer_progress& PeerOf(step_context& step, const std::string& name);

/**
 * Returns the progress of a voter if it may count towards a quorum, that is,
 * if it belongs to the identity that the replica set names; otherwise null.
 */
const peer_progress* FindQuorumPeer(const raft_state& state,
                                    const wire::replica& voter);

/**
 * Records a reply that `from` sent with `identity`; the request asked for
 * `asked_identity`. A changed identity resets the progress, because that
 * replica lost its log. Returns null if the reply must be ignored.
 */
peer_progress* RecordReply(step_context& step,
                           const std::string& from,
                           std::uint64_t identity,
                           std::uint64_t asked_identity,
                           std::uint64_t round);

/** Whether a quorum replied within the longest election timeout. */
bool IsQuorumActive(const step_context& step);
/** The same for one replica set, not counting `without`. */
bool IsQuorumActive(const step_context& step,
                    const wire::replica_list& replicas,
                    std::string_view without);

/**
 * Sends an append request without entries. Its reply confirms leadership and
 * reports the match index.
 */
void SendHeartbeat(step_context& step,
                   const std::string& name,
                   const peer_progress& peer);

/**
 * Sends new entries as far as the window allows, or starts to send the snapshot
 * if the entries were compacted.
 */
void SendEntries(step_context& step,
                 const std::string& name,
                 peer_progress& peer);

/** Resends the chunk if it wasn't acknowledged within chunk_retry_us. */
void RetryChunk(step_context& step,
                const std::string& name,
                peer_progress& peer);

/** Processes the reply to an append request. */
void UpdateMatch(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::append_reply& message);

/** Processes the acknowledgement of a snapshot chunk. */
void UpdateChunk(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::snapshot_reply& message);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_PEER_H_
