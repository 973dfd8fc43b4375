#include "libwisteriaroute/wire/work_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <work.capnp.h>

namespace wisteriaroute::wire {

namespace {

void WriteFields(const submit& from, proto::Submit::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setRequestId(from.request_id);
  to.setKind(static_cast<std::uint8_t>(from.kind));
  to.setBackendIncarnation(from.backend_incarnation);
  to.setWindow(from.window);
  to.setClaimed(from.claimed);
  to.setPriority(from.priority);
  to.setDeadlineMs(from.deadline_ms);
  to.setWorkspace(from.workspace);
  to.setModel(from.model);
  to.setAdapter(from.adapter);
  to.setMethod(from.method);
  to.setTarget(AsData(from.target));
  WriteHeaders(from.headers,
               to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(AsData(from.body));
  to.setResumeOffset(from.resume_offset);
  to.setResumeText(AsData(from.resume_text));
  Write(from.fingerprint, to.initFingerprint());
  to.setIsolated(from.isolated);
}

submit ReadFields(proto::Submit::Reader from) {
  return {.attempt = Read(from.getAttempt()),
          .request_id = from.getRequestId(),
          .kind = ReadEnum<work_kind>(from.getKind(), 3),
          .backend_incarnation = from.getBackendIncarnation(),
          .window = from.getWindow(),
          .claimed = from.getClaimed(),
          .priority = from.getPriority(),
          .deadline_ms = from.getDeadlineMs(),
          .workspace = from.getWorkspace(),
          .model = from.getModel(),
          .adapter = from.getAdapter(),
          .method = from.getMethod(),
          .target = ReadData(from.getTarget()),
          .headers = ReadHeaders(from.getHeaders()),
          .body = ReadData(from.getBody()),
          .resume_offset = from.getResumeOffset(),
          .resume_text = ReadData(from.getResumeText()),
          .fingerprint = Read(from.getFingerprint()),
          .isolated = from.getIsolated()};
}

void WriteFields(const head& from, proto::Head::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setStatus(from.status);
  WriteHeaders(from.headers,
               to.initHeaders(static_cast<unsigned>(from.headers.size())));
}

void WriteFields(const chunk& from, proto::Chunk::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setOffset(from.offset);
  to.setTokenCount(from.token_count);
  to.setData(AsData(from.data));
}

void WriteFields(const finish& from, proto::Finish::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setEndOffset(from.end_offset);
  to.setReason(from.reason);
  to.setPromptTokens(from.prompt_tokens);
  to.setCompletionTokens(from.completion_tokens);
  to.setCachedTokens(from.cached_tokens);
}

finish ReadFields(proto::Finish::Reader from) {
  return {.attempt = Read(from.getAttempt()),
          .end_offset = from.getEndOffset(),
          .reason = from.getReason(),
          .prompt_tokens = from.getPromptTokens(),
          .completion_tokens = from.getCompletionTokens(),
          .cached_tokens = from.getCachedTokens()};
}

void WriteFields(const failed& from, proto::Failed::Builder to) {
  Write(from.attempt, to.initAttempt());
  to.setReason(static_cast<std::uint8_t>(from.reason));
  to.setOutcome(static_cast<std::uint8_t>(from.ran));
  auto beside = to.initRanBeside(static_cast<unsigned>(from.ran_beside.size()));
  for (unsigned i = 0; i < from.ran_beside.size(); ++i) {
    Write(from.ran_beside[i], beside[i]);
  }
}

failed ReadFields(proto::Failed::Reader from) {
  failed result{.attempt = Read(from.getAttempt()),
                .reason = ReadEnum<failure_reason>(from.getReason(), 5),
                .ran = ReadEnum<outcome>(from.getOutcome(), 3)};
  for (const auto fingerprint : from.getRanBeside()) {
    result.ran_beside.push_back(Read(fingerprint));
  }
  return result;
}

void WriteFields(const load_report& from, proto::LoadReport::Builder to) {
  to.setQueued(from.queued);
  to.setRunning(from.running);
  to.setSlots(from.slots);
  to.setKvUsedTokens(from.kv_used_tokens);
  to.setKvTotalTokens(from.kv_total_tokens);
  to.setStepTimeUs(from.step_time_us);
  to.setTokensPerS(from.tokens_per_s);
  to.setAgeMs(from.age_ms);
}

load_report ReadFields(proto::LoadReport::Reader from) {
  return {.queued = from.getQueued(),
          .running = from.getRunning(),
          .slots = from.getSlots(),
          .kv_used_tokens = from.getKvUsedTokens(),
          .kv_total_tokens = from.getKvTotalTokens(),
          .step_time_us = from.getStepTimeUs(),
          .tokens_per_s = from.getTokensPerS(),
          .age_ms = from.getAgeMs()};
}

void WriteFields(const cache_hint& from, proto::CacheHint::Builder to) {
  to.setSequence(from.sequence);
  to.setAdded(kj::arrayPtr(from.added.data(), from.added.size()));
  to.setRemoved(kj::arrayPtr(from.removed.data(), from.removed.size()));
  to.setReset(from.reset);
}

cache_hint ReadFields(proto::CacheHint::Reader from) {
  cache_hint result{.sequence = from.getSequence(), .reset = from.getReset()};
  result.added = ReadNumbers<std::uint64_t>(from.getAdded());
  result.removed = ReadNumbers<std::uint64_t>(from.getRemoved());
  return result;
}

void WriteFields(const agent_state& from, proto::AgentState::Builder to) {
  to.setName(from.name);
  to.setBackendIncarnation(from.backend_incarnation);
  to.setWindow(from.window);
  to.setHealthy(from.healthy);
  to.setLeaving(from.leaving);
  to.setAccepting(from.accepting);
  auto models = to.initModels(static_cast<unsigned>(from.models.size()));
  for (unsigned i = 0; i < from.models.size(); ++i) {
    models.set(i, from.models[i]);
  }
}

agent_state ReadFields(proto::AgentState::Reader from) {
  agent_state result{.name = from.getName(),
                     .backend_incarnation = from.getBackendIncarnation(),
                     .window = from.getWindow(),
                     .healthy = from.getHealthy(),
                     .leaving = from.getLeaving(),
                     .accepting = from.getAccepting()};
  for (const auto model : from.getModels()) {
    result.models.emplace_back(model.cStr(), model.size());
  }
  return result;
}

struct message_writer {
  proto::WorkMessage::Builder root;

  void operator()(const submit& from) { WriteFields(from, root.initSubmit()); }
  void operator()(const cancel& from) {
    Write(from.attempt, root.initCancel().initAttempt());
  }
  void operator()(const query& from) {
    auto to = root.initQuery();
    Write(from.attempt, to.initAttempt());
    to.setBackendIncarnation(from.backend_incarnation);
    to.setWindow(from.window);
  }
  void operator()(const attach& from) {
    auto to = root.initAttach();
    Write(from.attempt, to.initAttempt());
    to.setOffset(from.offset);
  }
  void operator()(const ack& from) {
    auto to = root.initAck();
    Write(from.attempt, to.initAttempt());
    to.setOffset(from.offset);
  }
  void operator()(const attempt_status& from) {
    auto to = root.initAttemptState();
    Write(from.attempt, to.initAttempt());
    to.setState(static_cast<std::uint8_t>(from.phase));
  }
  void operator()(const head& from) { WriteFields(from, root.initHead()); }
  void operator()(const chunk& from) { WriteFields(from, root.initChunk()); }
  void operator()(const finish& from) { WriteFields(from, root.initFinish()); }
  void operator()(const refused& from) {
    auto to = root.initRefused();
    Write(from.attempt, to.initAttempt());
    to.setReason(static_cast<std::uint8_t>(from.reason));
    to.setRetryAfterMs(from.retry_after_ms);
  }
  void operator()(const failed& from) { WriteFields(from, root.initFailed()); }
  void operator()(const load_report& from) {
    WriteFields(from, root.initLoadReport());
  }
  void operator()(const cache_hint& from) {
    WriteFields(from, root.initCacheHint());
  }
  void operator()(const agent_state& from) {
    WriteFields(from, root.initAgentState());
  }
};

work_message ReadMessage(proto::WorkMessage::Reader root) {
  switch (root.which()) {
    case proto::WorkMessage::SUBMIT:
      return ReadFields(root.getSubmit());
    case proto::WorkMessage::CANCEL:
      return cancel{Read(root.getCancel().getAttempt())};
    case proto::WorkMessage::QUERY: {
      const auto from = root.getQuery();
      return query{Read(from.getAttempt()), from.getBackendIncarnation(),
                   from.getWindow()};
    }
    case proto::WorkMessage::ATTACH:
      return attach{Read(root.getAttach().getAttempt()),
                    root.getAttach().getOffset()};
    case proto::WorkMessage::ACK:
      return ack{Read(root.getAck().getAttempt()), root.getAck().getOffset()};
    case proto::WorkMessage::ATTEMPT_STATE: {
      const auto from = root.getAttemptState();
      return attempt_status{Read(from.getAttempt()),
                            ReadEnum<attempt_phase>(from.getState(), 5)};
    }
    case proto::WorkMessage::HEAD: {
      const auto from = root.getHead();
      return head{Read(from.getAttempt()), from.getStatus(),
                  ReadHeaders(from.getHeaders())};
    }
    case proto::WorkMessage::CHUNK: {
      const auto from = root.getChunk();
      return chunk{Read(from.getAttempt()), from.getOffset(),
                   from.getTokenCount(), ReadData(from.getData())};
    }
    case proto::WorkMessage::FINISH:
      return ReadFields(root.getFinish());
    case proto::WorkMessage::REFUSED: {
      const auto from = root.getRefused();
      return refused{Read(from.getAttempt()),
                     ReadEnum<refusal_reason>(from.getReason(), 10),
                     from.getRetryAfterMs()};
    }
    case proto::WorkMessage::FAILED:
      return ReadFields(root.getFailed());
    case proto::WorkMessage::LOAD_REPORT:
      return ReadFields(root.getLoadReport());
    case proto::WorkMessage::CACHE_HINT:
      return ReadFields(root.getCacheHint());
    case proto::WorkMessage::AGENT_STATE:
      return ReadFields(root.getAgentState());
  }
  throw malformed_message("unknown work message type");
}

}  // namespace

std::string Encode(const work_message& message) {
  capnp::MallocMessageBuilder builder(128);
  std::visit(message_writer{builder.initRoot<proto::WorkMessage>()}, message);
  return Serialize(builder);
}

work_message DecodeWork(std::string_view bytes) {
  const message_bytes copy(bytes);
  try {
    capnp::FlatArrayMessageReader reader(copy.words());
    return ReadMessage(reader.getRoot<proto::WorkMessage>());
  } catch (const kj::Exception& exception) {
    throw malformed_message(exception.getDescription().cStr());
  }
}

}  // namespace wisteriaroute::wire
