#include "libwisteriaroute/wire/raft_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <raft.capnp.h>

namespace wisteriaroute::wire {

namespace {

void WriteReplicas(const replica_list& from,
                   capnp::List<proto::Replica>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setName(from[i].name);
    to[i].setAddress(from[i].address);
    to[i].setIdentity(from[i].identity);
    to[i].setVoter(from[i].voter);
    to[i].setPromoteWhenReady(from[i].promote_when_ready);
    to[i].setCastingVote(from[i].casting_vote);
  }
}

replica_list ReadReplicas(capnp::List<proto::Replica>::Reader from) {
  replica_list replicas;
  replicas.reserve(from.size());
  for (const auto one : from) {
    replicas.push_back({.name = one.getName(),
                        .address = one.getAddress(),
                        .identity = one.getIdentity(),
                        .voter = one.getVoter(),
                        .promote_when_ready = one.getPromoteWhenReady(),
                        .casting_vote = one.getCastingVote()});
  }
  return replicas;
}

void WriteFields(const vote_request& from, proto::VoteRequest::Builder to) {
  to.setTerm(from.term);
  to.setPreVote(from.pre_vote);
  to.setTransfer(from.transfer);
  to.setVoterIdentity(from.voter_identity);
  to.setLastIndex(from.last_index);
  to.setLastTerm(from.last_term);
  to.setKnownLosses(from.known_losses);
}

vote_request ReadFields(proto::VoteRequest::Reader from) {
  return {.term = from.getTerm(),
          .pre_vote = from.getPreVote(),
          .transfer = from.getTransfer(),
          .voter_identity = from.getVoterIdentity(),
          .last_index = from.getLastIndex(),
          .last_term = from.getLastTerm(),
          .known_losses = from.getKnownLosses()};
}

void WriteFields(const vote_reply& from, proto::VoteReply::Builder to) {
  to.setTerm(from.term);
  to.setPreVote(from.pre_vote);
  to.setGranted(from.granted);
  to.setIdentity(from.identity);
  to.setAskedIdentity(from.asked_identity);
  to.setKnownLosses(from.known_losses);
}

vote_reply ReadFields(proto::VoteReply::Reader from) {
  return {.term = from.getTerm(),
          .pre_vote = from.getPreVote(),
          .granted = from.getGranted(),
          .identity = from.getIdentity(),
          .asked_identity = from.getAskedIdentity(),
          .known_losses = from.getKnownLosses()};
}

void WriteFields(const append_request& from, proto::AppendRequest::Builder to) {
  to.setTerm(from.term);
  to.setRound(from.round);
  to.setPreviousIndex(from.previous_index);
  to.setPreviousTerm(from.previous_term);
  to.setCommitIndex(from.commit_index);
  to.setReceiverIdentity(from.receiver_identity);
  auto entries = to.initEntries(static_cast<unsigned>(from.entries.size()));
  for (unsigned i = 0; i < from.entries.size(); ++i) {
    entries[i].setTerm(from.entries[i].term);
    entries[i].setIndex(from.entries[i].index);
    entries[i].setKind(static_cast<std::uint8_t>(from.entries[i].kind));
    entries[i].setPayload(AsData(from.entries[i].payload));
  }
}

append_request ReadFields(proto::AppendRequest::Reader from) {
  append_request result{.term = from.getTerm(),
                        .round = from.getRound(),
                        .previous_index = from.getPreviousIndex(),
                        .previous_term = from.getPreviousTerm(),
                        .commit_index = from.getCommitIndex(),
                        .receiver_identity = from.getReceiverIdentity()};
  result.entries.reserve(from.getEntries().size());
  for (const auto entry : from.getEntries()) {
    result.entries.push_back({.term = entry.getTerm(),
                              .index = entry.getIndex(),
                              .kind = ReadEnum<entry_kind>(entry.getKind(), 3),
                              .payload = ReadData(entry.getPayload())});
    // Rejects an undecodable replica set before it is stored in the log.
    if (result.entries.back().kind == entry_kind::kReplicas) {
      DecodeReplicas(result.entries.back().payload);
    }
  }
  return result;
}

void WriteFields(const append_reply& from, proto::AppendReply::Builder to) {
  to.setTerm(from.term);
  to.setIdentity(from.identity);
  to.setRound(from.round);
  to.setSuccess(from.success);
  to.setMatchIndex(from.match_index);
  to.setRejectedIndex(from.rejected_index);
  to.setHintIndex(from.hint_index);
  to.setAskedIdentity(from.asked_identity);
  to.setLeaving(from.leaving);
}

append_reply ReadFields(proto::AppendReply::Reader from) {
  return {.term = from.getTerm(),
          .identity = from.getIdentity(),
          .round = from.getRound(),
          .success = from.getSuccess(),
          .match_index = from.getMatchIndex(),
          .rejected_index = from.getRejectedIndex(),
          .hint_index = from.getHintIndex(),
          .asked_identity = from.getAskedIdentity(),
          .leaving = from.getLeaving()};
}

void WriteFields(const snapshot_chunk& from, proto::SnapshotChunk::Builder to) {
  to.setTerm(from.term);
  to.setRound(from.round);
  to.setLastIndex(from.last_index);
  to.setLastTerm(from.last_term);
  WriteReplicas(from.replicas,
                to.initReplicas(static_cast<unsigned>(from.replicas.size())));
  to.setTotalBytes(from.total_bytes);
  to.setChecksum(from.checksum);
  to.setOffset(from.offset);
  to.setData(AsData(from.data));
}

snapshot_chunk ReadFields(proto::SnapshotChunk::Reader from) {
  return {.term = from.getTerm(),
          .round = from.getRound(),
          .last_index = from.getLastIndex(),
          .last_term = from.getLastTerm(),
          .replicas = ReadReplicas(from.getReplicas()),
          .total_bytes = from.getTotalBytes(),
          .checksum = from.getChecksum(),
          .offset = from.getOffset(),
          .data = ReadData(from.getData())};
}

void WriteFields(const snapshot_reply& from, proto::SnapshotReply::Builder to) {
  to.setTerm(from.term);
  to.setIdentity(from.identity);
  to.setRound(from.round);
  to.setLastIndex(from.last_index);
  to.setNextOffset(from.next_offset);
}

snapshot_reply ReadFields(proto::SnapshotReply::Reader from) {
  return {.term = from.getTerm(),
          .identity = from.getIdentity(),
          .round = from.getRound(),
          .last_index = from.getLastIndex(),
          .next_offset = from.getNextOffset()};
}

struct message_writer {
  proto::RaftMessage::Builder root;

  void operator()(const vote_request& from) {
    WriteFields(from, root.initVoteRequest());
  }
  void operator()(const vote_reply& from) {
    WriteFields(from, root.initVoteReply());
  }
  void operator()(const append_request& from) {
    WriteFields(from, root.initAppendRequest());
  }
  void operator()(const append_reply& from) {
    WriteFields(from, root.initAppendReply());
  }
  void operator()(const snapshot_chunk& from) {
    WriteFields(from, root.initSnapshotChunk());
  }
  void operator()(const snapshot_reply& from) {
    WriteFields(from, root.initSnapshotReply());
  }
  void operator()(const timeout_now& from) {
    root.initTimeoutNow().setTerm(from.term);
  }
};

raft_message ReadMessage(proto::RaftMessage::Reader root) {
  switch (root.which()) {
    case proto::RaftMessage::VOTE_REQUEST:
      return ReadFields(root.getVoteRequest());
    case proto::RaftMessage::VOTE_REPLY:
      return ReadFields(root.getVoteReply());
    case proto::RaftMessage::APPEND_REQUEST:
      return ReadFields(root.getAppendRequest());
    case proto::RaftMessage::APPEND_REPLY:
      return ReadFields(root.getAppendReply());
    case proto::RaftMessage::SNAPSHOT_CHUNK:
      return ReadFields(root.getSnapshotChunk());
    case proto::RaftMessage::SNAPSHOT_REPLY:
      return ReadFields(root.getSnapshotReply());
    case proto::RaftMessage::TIMEOUT_NOW:
      return timeout_now{root.getTimeoutNow().getTerm()};
  }
  throw malformed_message("unknown raft message type");
}

/** Calls `read` with the message's root. Throws malformed_message. */
template <typename Root, typename Function>
auto ReadRoot(std::string_view bytes, Function read) {
  const message_bytes copy(bytes);
  try {
    capnp::FlatArrayMessageReader reader(copy.words());
    return read(reader.getRoot<Root>());
  } catch (const kj::Exception& exception) {
    throw malformed_message(exception.getDescription().cStr());
  }
}

}  // namespace

std::string Encode(const raft_message& message) {
  capnp::MallocMessageBuilder builder(128);
  std::visit(message_writer{builder.initRoot<proto::RaftMessage>()}, message);
  return Serialize(builder);
}

raft_message DecodeRaft(std::string_view bytes) {
  return ReadRoot<proto::RaftMessage>(bytes, ReadMessage);
}

std::string EncodeReplicas(const replica_list& replicas) {
  capnp::MallocMessageBuilder builder(64);
  WriteReplicas(replicas, builder.initRoot<proto::ReplicaList>().initReplicas(
                              static_cast<unsigned>(replicas.size())));
  return Serialize(builder);
}

replica_list DecodeReplicas(std::string_view bytes) {
  return ReadRoot<proto::ReplicaList>(bytes,
                                      [](proto::ReplicaList::Reader root) {
                                        return ReadReplicas(root.getReplicas());
                                      });
}

}  // namespace wisteriaroute::wire
