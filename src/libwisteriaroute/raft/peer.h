#ifndef LIBWISTERIAROUTE_RAFT_PEER_H_
#define LIBWISTERIAROUTE_RAFT_PEER_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

// The leader's side of the exchange with one other replica.

/** The progress of a replica; made if the replica is new. */
peer_progress& PeerOf(step_context& step, const std::string& name);

/**
 * The progress, if it belongs to the identity that the replica set names, so
 * that it may count towards a quorum; otherwise null.
 */
const peer_progress* CountedPeer(const raft_state& state,
                                 const wire::replica& voter);

/**
 * Notes a reply of `identity`. Another identity than before starts with no
 * progress, because that replica lost its log. Returns null if the reply must
 * be ignored.
 */
peer_progress* NoteReply(step_context& step,
                         const std::string& from,
                         std::uint64_t identity,
                         std::uint64_t round);

/** Whether a quorum of the set replied within the last election timeout. */
bool HeardFromQuorum(const step_context& step,
                     const wire::replica_list& replicas);

/** Sends an append without entries; it confirms leadership and the match. */
void SendHeartbeat(step_context& step,
                   const std::string& name,
                   const peer_progress& peer);

/** Sends entries or a snapshot chunk as far as the window allows. */
void SendEntries(step_context& step,
                 const std::string& name,
                 peer_progress& peer);

/** Sends the chunk again if it wasn't acknowledged in time. */
void RetryChunk(step_context& step,
                const std::string& name,
                peer_progress& peer);

/** Takes in the match or the rejection of an append. */
void UpdateMatch(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::append_reply& message);

/** Takes in the acknowledgement of a snapshot chunk. */
void UpdateChunk(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::snapshot_reply& message);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_PEER_H_
