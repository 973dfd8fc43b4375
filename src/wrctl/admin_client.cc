#include "wrctl/admin_client.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "wrctl/command_line.h"
#include "wrctl/exit_status.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr base::time_us kTickUs = 20'000;
// Longer than a normal leader change (0.6 to 1.0 s) that is repeated once, and
// short enough to try a second replica within the default time limit of 10 s.
constexpr base::time_us kAnswerTimeoutUs = 3'000'000;
constexpr base::time_us kRetryDelayUs = 150'000;

net::link_context MakeContext(net::loop& event_loop,
                              base::hybrid_clock& clock,
                              const std::string& cluster_key) {
  const std::uint64_t run = base::RandomU64();
  return {.event_loop = &event_loop,
          .self = {.name = "wrctl-" + std::to_string(run),
                   .role = "wrctl",
                   .incarnation = run},
          .cluster_key = cluster_key,
          .clock = &clock};
}

}  // namespace

admin_client::admin_client(const client_settings& settings)
    : hub_(
          MakeContext(loop_, clock_, settings.cluster_key),
          {.on_up = [this](net::link_id link,
                           net::dial_id dial,
                           const net::peer_identity&) { HandleUp(link, dial); },
           .on_message =
               [this](net::link_id link, std::string_view body) {
                 HandleMessage(link, body);
               },
           .on_down = [this](net::link_id link,
                             std::string_view) { HandleDown(link); }}) {
  for (const std::string& address : settings.controls) {
    DialOnce(address);
  }
}

net::dial_id admin_client::DialOnce(const std::string& address) {
  for (const auto& [dial, known] : targets_) {
    if (known.address == address) {
      return dial;
    }
  }
  const net::dial_id dial = hub_.Dial(address);
  targets_[dial].address = address;
  return dial;
}

wire::admin_reply admin_client::Call(wire::admin_call call,
                                     base::time_us deadline_us) {
  broadcast_ = false;
  request_ = wire::Encode(wire::admin_request{.correlation = ++correlation_,
                                              .call = std::move(call)});
  ClearCurrentDial();
  last_error_.clear();
  RunUntil(deadline_us);
  if (!done_) {
    throw command_failure(kUnreachable, DescribeTimeout());
  }
  if (reply_.result == wire::admin_result::kRefused) {
    throw command_failure(kRefused,
                          "refused (" + reply_.code + "): " + reply_.message);
  }
  return std::move(reply_);
}

std::vector<process_answer> admin_client::CallEach(
    std::span<const std::string> addresses,
    const wire::admin_call& call,
    base::time_us deadline_us) {
  broadcast_ = true;
  request_ = wire::Encode(
      wire::admin_request{.correlation = ++correlation_, .call = call});
  answers_.clear();
  for (const std::string& address : addresses) {
    const net::dial_id dial = DialOnce(address);
    answers_[dial].address = address;
    const net::link_id link = targets_[dial].link;
    if (link != 0) {
      hub_.Send(link, request_);
    }
  }
  if (!answers_.empty()) {
    RunUntil(deadline_us);
  }
  std::vector<process_answer> answers;
  for (auto& [dial, answer] : answers_) {
    answers.push_back(std::move(answer));
  }
  return answers;
}

void admin_client::RunUntil(base::time_us deadline_us) {
  done_ = false;
  net::timer tick(loop_.ev(), [&] {
    Advance();
    if (done_ || base::MonotonicUs() >= deadline_us) {
      loop_.Stop();
    }
  });
  tick.Start(0, kTickUs);
  loop_.Run();
}

void admin_client::ClearCurrentDial() {
  current_dial_ = 0;
  next_attempt_us_ = 0;
}

void admin_client::Advance() {
  const base::time_us now_us = base::MonotonicUs();
  if (current_dial_ != 0 && now_us > request_sent_us_ + kAnswerTimeoutUs) {
    last_error_ = targets_[current_dial_].address + " did not answer in time";
    if (preferred_dial_ == current_dial_) {
      preferred_dial_ = 0;
    }
    ClearCurrentDial();
  }
  if (broadcast_ || done_ || current_dial_ != 0 || now_us < next_attempt_us_) {
    return;
  }
  auto next = targets_.find(preferred_dial_);
  if (next == targets_.end() || next->second.link == 0) {
    // Round robin: the next replica with a link after the last one asked.
    next = targets_.upper_bound(last_dial_);
    for (std::size_t i = 0; i < targets_.size(); ++i, ++next) {
      if (next == targets_.end()) {
        next = targets_.begin();
      }
      if (next->second.link != 0) {
        break;
      }
    }
    if (next == targets_.end()) {
      next = targets_.begin();
    }
  }
  if (next->second.link == 0) {
    return;
  }
  current_dial_ = last_dial_ = next->first;
  request_sent_us_ = now_us;
  hub_.Send(next->second.link, request_);
}

void admin_client::HandleUp(net::link_id link, net::dial_id dial) {
  target& peer = targets_[dial];
  peer.link = link;
  peer.was_connected = true;
  if (broadcast_ && answers_.contains(dial)) {
    hub_.Send(link, request_);
    return;
  }
  if (dial == preferred_dial_) {
    next_attempt_us_ = 0;
  }
  Advance();
}

void admin_client::HandleDown(net::link_id link) {
  for (auto& [dial, peer] : targets_) {
    if (peer.link == link) {
      peer.link = 0;
      if (dial == current_dial_) {
        last_error_ = "the link to " + peer.address + " was lost";
        ClearCurrentDial();
      }
    }
  }
}

void admin_client::HandleMessage(net::link_id link, std::string_view body) {
  wire::control_message message;
  try {
    message = wire::DecodeControl(body);
  } catch (const wire::malformed_message& error) {
    hub_.Close(link, error.what());
    return;
  }
  if (auto* reply = std::get_if<wire::admin_reply>(&message)) {
    HandleReply(link, std::move(*reply));
  } else if (const auto* other = std::get_if<wire::not_leader>(&message)) {
    if (current_dial_ != 0 && targets_[current_dial_].link == link) {
      FollowLeader(*other);
    }
  }
}

void admin_client::HandleReply(net::link_id link, wire::admin_reply reply) {
  if (reply.correlation != correlation_) {
    return;
  }
  if (broadcast_) {
    for (auto& [dial, answer] : answers_) {
      if (targets_[dial].link == link) {
        answer.answered = true;
        answer.reply = std::move(reply);
        break;
      }
    }
    done_ = std::ranges::all_of(
        answers_, [](const auto& each) { return each.second.answered; });
    return;
  }
  if (reply.result == wire::admin_result::kOk ||
      reply.result == wire::admin_result::kRefused) {
    reply_ = std::move(reply);
    done_ = true;
    loop_.Stop();
    return;
  }
  if (current_dial_ == 0 || targets_[current_dial_].link != link) {
    return;
  }
  if (reply.result == wire::admin_result::kNotLeader) {
    // `message` contains the leader's address, or is empty if it is unknown.
    FollowLeader({.leader_address = reply.message});
    return;
  }
  // Asks the same replica again: it is the leader, but cannot complete the
  // request now, for example because it has no quorum yet.
  last_error_ = targets_[current_dial_].address +
                " is temporarily unavailable: " + reply.message;
  preferred_dial_ = current_dial_;
  current_dial_ = 0;
  next_attempt_us_ = base::MonotonicUs() + kRetryDelayUs;
}

void admin_client::FollowLeader(const wire::not_leader& message) {
  last_error_ = targets_[current_dial_].address + " is not the leader";
  preferred_dial_ = 0;
  if (message.leader_address.empty()) {
    last_error_ += " and knows no leader";
  } else {
    try {
      preferred_dial_ = DialOnce(message.leader_address);
    } catch (const std::invalid_argument&) {
      last_error_ += " and reports an invalid leader address";
    }
  }
  const bool ready = preferred_dial_ != 0 && preferred_dial_ != current_dial_ &&
                     targets_[preferred_dial_].link != 0;
  current_dial_ = 0;
  next_attempt_us_ = base::MonotonicUs() + (ready ? 0 : kRetryDelayUs);
}

std::string admin_client::DescribeTimeout() const {
  std::string message = "no answer from control within the time limit:";
  for (const auto& [dial, peer] : targets_) {
    message += "\n  " + peer.address;
    if (peer.link != 0) {
      message += " is connected";
    } else if (peer.was_connected) {
      message += " was connected, but the link was lost";
    } else {
      message +=
          " did not accept the connection (check the address and the cluster "
          "key)";
    }
  }
  if (!last_error_.empty()) {
    message += "\n  last error: " + last_error_;
  }
  return message;
}

base::time_us DeadlineUs(double default_s) {
  const double seconds = FLAGS_timeout_s > 0 ? FLAGS_timeout_s : default_s;
  return base::MonotonicUs() + static_cast<base::time_us>(seconds * 1e6);
}

}  // namespace wisteriaroute::wrctl
