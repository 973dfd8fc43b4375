#include "libwisteriaroute/net/link.h"

#include <kj/debug.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::net {

namespace {

// A side sends a ping if it has received nothing for this fraction of a
// heartbeat. A ping shows both sides that the link works, so the accepting side
// waits longer: on an idle link only the dialling side sends pings, and neither
// side does while other messages arrive.
constexpr double kDiallingPingAfter = 0.8;
constexpr double kAcceptingPingAfter = 1.8;
// Number of heartbeats without a message after which a link is closed.
constexpr base::time_us kMaxMissedHeartbeats = 3;
// Range to which the heartbeat that a peer asks for is clamped.
constexpr base::time_ms kMinHeartbeatMs = 100;
constexpr base::time_ms kMaxHeartbeatMs = 10'000;
constexpr std::size_t kNonceBytes = 32;
// No further call is sent while this much is in flight. A slow receiver then
// fills the queue of this link instead of buffers of the kernel and the RPC
// system.
constexpr std::size_t kMaxInFlightBytes = 4 * 1024 * 1024;
// The receiver keeps an answer for each call until the sender finishes it; far
// below its limit for open calls. Messages meanwhile join the next call.
constexpr std::size_t kMaxInFlightCalls = 256;
// Four of the largest messages.
constexpr std::size_t kMaxQueuedBytes = 4 * kMaxMessageBytes;
// Limits one call, so it never reaches the receiver's traversal limit.
constexpr std::size_t kMaxBatchBytes = kMaxMessageBytes + 64 * 1024;

capnp::ReaderOptions FrameLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      (kMaxBatchBytes + 1024 * 1024) / sizeof(capnp::word);
  return options;
}

void WriteIdentity(const peer_identity& from, proto::Identity::Builder to) {
  to.setName(from.name);
  to.setRole(from.role);
  to.setIncarnation(from.incarnation);
  to.setDataCenter(from.data_center);
  to.setAddress(from.address);
  to.setHeartbeatMs(static_cast<std::uint32_t>(from.heartbeat_ms));
}

peer_identity ReadIdentity(proto::Identity::Reader from) {
  return {.name = from.getName(),
          .role = from.getRole(),
          .incarnation = from.getIncarnation(),
          .data_center = from.getDataCenter(),
          .address = from.getAddress(),
          .heartbeat_ms = std::clamp(base::time_ms{from.getHeartbeatMs()},
                                     kMinHeartbeatMs, kMaxHeartbeatMs)};
}

capnp::Data::Reader AsData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string_view AsText(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

std::string Prefixed(std::string_view field) {
  return std::to_string(field.size()) + ":" + std::string(field);
}

// The length prefixes prevent two different identities from having the same
// proof.
std::string Proof(std::string_view key,
                  std::string_view direction,
                  std::string_view client_nonce,
                  std::string_view server_nonce,
                  const peer_identity& identity) {
  return base::HmacSha256(
      key, Prefixed(direction) + Prefixed(client_nonce) +
               Prefixed(server_nonce) + Prefixed(identity.name) +
               Prefixed(identity.role) +
               Prefixed(std::to_string(identity.incarnation)) +
               Prefixed(identity.data_center) + Prefixed(identity.address) +
               Prefixed(std::to_string(identity.heartbeat_ms)));
}

constexpr std::string_view kClientDirection = "client";
constexpr std::string_view kServerDirection = "server";

}  // namespace

class channel_server final : public proto::Channel::Server {
 public:
  channel_server(link& owner, std::shared_ptr<bool> alive)
      : owner_(owner), alive_(std::move(alive)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    if (*alive_) {
      owner_.Receive(context.getParams().getBatch());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext context) override {
    if (*alive_) {
      owner_.last_message_us_ = base::MonotonicUs();
      owner_.context_.clock->Observe(context.getParams().getHlc(),
                                     base::WallMs());
      context.getResults().setHlc(owner_.context_.clock->Tick(base::WallMs()));
    }
    return kj::READY_NOW;
  }

 private:
  link& owner_;
  std::shared_ptr<bool> alive_;
};

class gate_server final : public proto::Gate::Server {
 public:
  gate_server(link& owner, std::shared_ptr<bool> alive)
      : owner_(owner), alive_(std::move(alive)) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    client_nonce_ = AsText(context.getParams().getClientNonce());
    server_nonce_ = base::RandomBytes(kNonceBytes);
    context.getResults().setServerNonce(AsData(server_nonce_));
    return kj::READY_NOW;
  }

  kj::Promise<void> authenticate(AuthenticateContext context) override {
    KJ_REQUIRE(*alive_ && !server_nonce_.empty(),
               "authenticate was called without a challenge");
    const auto params = context.getParams();
    const peer_identity peer = ReadIdentity(params.getIdentity());
    const link_context& shared = owner_.context_;
    const std::string wanted = Proof(shared.cluster_key, kClientDirection,
                                     client_nonce_, server_nonce_, peer);
    if (!base::EqualConstantTime(wanted, AsText(params.getProof()))) {
      owner_.Close("the peer doesn't know the cluster key");
      KJ_FAIL_REQUIRE("authentication failed");
    }
    auto results = context.getResults();
    WriteIdentity(shared.self, results.initIdentity());
    results.setProof(AsData(Proof(shared.cluster_key, kServerDirection,
                                  client_nonce_, server_nonce_, shared.self)));
    results.setChannel(kj::heap<channel_server>(owner_, alive_));
    server_nonce_.clear();
    owner_.CompleteHandshake(peer, params.getChannel());
    return kj::READY_NOW;
  }

 private:
  link& owner_;
  std::shared_ptr<bool> alive_;
  std::string client_nonce_;
  std::string server_nonce_;
};

void link::task_errors::taskFailed(kj::Exception&& exception) {
  owner_.Close(exception.getDescription().cStr());
}

link::link(const link_context& context,
           int fd,
           side which,
           link_callbacks callbacks)
    : context_(context),
      side_(which),
      callbacks_(std::move(callbacks)),
      stream_(context.event_loop->ev(), fd),
      messages_(stream_, [this] { return network_.getCurrentQueueCount(); }),
      network_(messages_,
               which == side::kDialled ? capnp::rpc::twoparty::Side::CLIENT
                                       : capnp::rpc::twoparty::Side::SERVER,
               FrameLimits()),
      liveness_timer_(context.event_loop->ev(), [this] { CheckLiveness(); }),
      heartbeat_us_(context.self.heartbeat_ms * 1'000),
      last_message_us_(base::MonotonicUs()),
      tasks_(task_errors_) {
  stream_.SetInputBudget(context_.input_budget);
  if (side_ == side::kDialled) {
    // The peer's first message may be large, and may arrive before the answer
    // that authenticates the peer is handled.
    messages_.SetAuthenticated();
  }
  using rpc_system = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;
  if (side_ == side::kAccepted) {
    rpc_ = std::make_unique<rpc_system>(capnp::makeRpcServer(
        network_, proto::Gate::Client(kj::heap<gate_server>(*this, alive_))));
  } else {
    rpc_ = std::make_unique<rpc_system>(capnp::makeRpcClient(network_));
    tasks_.add(stream_.WhenConnected().then([this] { StartClient(); }));
  }
  tasks_.add(network_.onDisconnect().then([this] {
    Close(messages_.refusal().empty() ? "the peer closed the connection"
                                      : messages_.refusal());
  }));
  liveness_timer_.Start(heartbeat_us_, heartbeat_us_);
}

link::~link() {
  *alive_ = false;
  ReleaseBudgets();
}

void link::ReleaseBudgets() {
  stream_.SetInputBudget(nullptr);
  if (context_.unsent_budget != nullptr) {
    context_.unsent_budget->Remove(unsent_bytes());
    context_.unsent_budget = nullptr;
  }
}

void link::StartClient() {
  tasks_.add(RunClientHandshake());
}

kj::Promise<void> link::RunClientHandshake() {
  capnp::MallocMessageBuilder builder(8);
  auto vat_id = builder.initRoot<capnp::rpc::twoparty::VatId>();
  vat_id.setSide(capnp::rpc::twoparty::Side::SERVER);
  auto gate = rpc_->bootstrap(vat_id).castAs<proto::Gate>();
  auto client_nonce = base::RandomBytes(kNonceBytes);
  auto request = gate.challengeRequest();
  request.setClientNonce(AsData(client_nonce));
  return request.send().then([this, gate, client_nonce](
                                 auto challenge) mutable -> kj::Promise<void> {
    const std::string server_nonce(AsText(challenge.getServerNonce()));
    auto authenticate = gate.authenticateRequest();
    WriteIdentity(context_.self, authenticate.initIdentity());
    authenticate.setProof(
        AsData(Proof(context_.cluster_key, kClientDirection, client_nonce,
                     server_nonce, context_.self)));
    authenticate.setChannel(kj::heap<channel_server>(*this, alive_));
    return authenticate.send().then([this, client_nonce,
                                     server_nonce](auto answer) {
      peer_identity peer = ReadIdentity(answer.getIdentity());
      const std::string wanted = Proof(context_.cluster_key, kServerDirection,
                                       client_nonce, server_nonce, peer);
      if (!base::EqualConstantTime(wanted, AsText(answer.getProof()))) {
        Close("the peer doesn't know the cluster key");
        return;
      }
      CompleteHandshake(peer, answer.getChannel());
    });
  });
}

void link::CompleteHandshake(const peer_identity& peer,
                             proto::Channel::Client channel) {
  if (state_ != state::kHandshake) {
    return;
  }
  state_ = state::kUp;
  messages_.SetAuthenticated();
  channel_ = kj::mv(channel);
  last_message_us_ = base::MonotonicUs();
  if (side_ == side::kAccepted) {
    heartbeat_us_ = peer.heartbeat_ms * 1'000;
    liveness_timer_.Start(heartbeat_us_, heartbeat_us_);
  }
  if (callbacks_.on_up) {
    callbacks_.on_up(peer);
  }
}

void link::Send(std::string body) {
  if (state_ != state::kUp) {
    return;
  }
  if (body.size() > kMaxMessageBytes) {
    Close("an outgoing message exceeds the size limit");
    return;
  }
  if (outgoing_bytes_ + body.size() > kMaxQueuedBytes) {
    Close("the peer reads too slowly");
    return;
  }
  if (unsent_bytes() == 0) {
    unsent_since_us_ = base::MonotonicUs();
  }
  const std::size_t bytes = body.size();
  outgoing_bytes_ += bytes;
  outgoing_.push_back(std::move(body));
  if (context_.unsent_budget != nullptr) {
    context_.unsent_budget->Add(bytes);
  }
  if (!flush_scheduled_) {
    flush_scheduled_ = true;
    context_.event_loop->Defer([this, alive = alive_] {
      if (*alive) {
        flush_scheduled_ = false;
        Flush();
      }
    });
  }
}

void link::Flush() {
  while (state_ == state::kUp && !outgoing_.empty() &&
         in_flight_bytes_ < kMaxInFlightBytes &&
         in_flight_calls_ < kMaxInFlightCalls) {
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < outgoing_.size() &&
           (count == 0 || bytes + outgoing_[count].size() <= kMaxBatchBytes)) {
      bytes += outgoing_[count++].size();
    }
    auto request = KJ_ASSERT_NONNULL(channel_).deliverRequest(
        capnp::MessageSize{bytes / sizeof(capnp::word) + 8 * count + 8, 0});
    auto batch = request.initBatch(static_cast<unsigned>(count));
    for (std::size_t i = 0; i < count; ++i) {
      auto message = batch[static_cast<unsigned>(i)];
      message.setHlc(context_.clock->Tick(base::WallMs()));
      message.setBody(AsData(outgoing_[i]));
    }
    outgoing_.erase(outgoing_.begin(),
                    outgoing_.begin() + static_cast<std::ptrdiff_t>(count));
    outgoing_bytes_ -= bytes;
    in_flight_bytes_ += bytes;
    ++in_flight_calls_;
    tasks_.add(request.send().then([this, bytes](auto&&) {
      last_message_us_ = base::MonotonicUs();
      unsent_since_us_ = last_message_us_;
      in_flight_bytes_ -= bytes;
      --in_flight_calls_;
      if (context_.unsent_budget != nullptr) {
        context_.unsent_budget->Remove(bytes);
      }
      Flush();
    }));
  }
}

void link::Receive(capnp::List<proto::Message>::Reader batch) {
  if (state_ == state::kClosed) {
    return;
  }
  last_message_us_ = base::MonotonicUs();
  for (const auto message : batch) {
    // The callback may close the link.
    if (state_ != state::kUp) {
      return;
    }
    context_.clock->Observe(message.getHlc(), base::WallMs());
    if (callbacks_.on_message) {
      callbacks_.on_message(AsText(message.getBody()));
    }
  }
}

void link::CheckLiveness() {
  const base::time_us now = base::MonotonicUs();
  if (now - last_message_us_ >= kMaxMissedHeartbeats * heartbeat_us_) {
    Close(state_ == state::kUp ? "no heartbeat from the peer"
                               : "the handshake took too long");
    return;
  }
  const double ping_after =
      side_ == side::kDialled ? kDiallingPingAfter : kAcceptingPingAfter;
  if (state_ == state::kUp && !ping_pending_ &&
      static_cast<double>(now - last_message_us_) >=
          ping_after * static_cast<double>(heartbeat_us_)) {
    SendPing();
  }
}

void link::SendPing() {
  ping_pending_ = true;
  auto request = KJ_ASSERT_NONNULL(channel_).pingRequest();
  request.setHlc(context_.clock->Tick(base::WallMs()));
  tasks_.add(request.send().then([this](auto pong) {
    ping_pending_ = false;
    last_message_us_ = base::MonotonicUs();
    context_.clock->Observe(pong.getHlc(), base::WallMs());
  }));
}

void link::Close(std::string_view reason) {
  if (state_ == state::kClosed) {
    return;
  }
  state_ = state::kClosed;
  liveness_timer_.Stop();
  ReleaseBudgets();
  // Deferred, because the caller may be inside a callback of this link, and the
  // owner destroys the link in on_down.
  context_.event_loop->Defer(
      [this, alive = alive_, reason = std::string(reason)] {
        if (*alive && callbacks_.on_down) {
          callbacks_.on_down(reason);
        }
      });
}

}  // namespace wisteriaroute::net
