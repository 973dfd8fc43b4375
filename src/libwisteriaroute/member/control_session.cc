#include "libwisteriaroute/member/control_session.h"

#include <utility>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::member {

namespace {

constexpr base::time_us kTickUs = 100'000;

}  // namespace

control_session::control_session(net::loop& event_loop,
                                 net::link_hub& hub,
                                 std::span<const std::string> control_addresses,
                                 wire::member_info info,
                                 control_session_callbacks callbacks,
                                 bool learn_controls)
    : hub_(hub),
      learn_controls_(learn_controls),
      callbacks_(std::move(callbacks)),
      tick_(event_loop.ev(), [this] { Handle(session_tick{}); }) {
  state_.info = std::move(info);
  for (const std::string& address : control_addresses) {
    Dial(address);
  }
  tick_.Start(kTickUs, kTickUs);
}

bool control_session::HandleUp(net::link_id link,
                               net::dial_id dial,
                               const net::peer_identity& peer) {
  const auto it = links_by_dial_.find(dial);
  if (dial == 0 || it == links_by_dial_.end()) {
    return false;
  }
  it->second = link;
  Handle(control_up{link, peer.name});
  return true;
}

bool control_session::HandleMessage(net::link_id link, std::string_view body) {
  if (!state_.controls.contains(link)) {
    return false;
  }
  try {
    const wire::control_message message = wire::DecodeControl(body);
    if (const auto* refusal = std::get_if<wire::not_leader>(&message)) {
      DialLeader(*refusal);
    }
    Handle(control_received{link, message});
  } catch (const wire::malformed_message& error) {
    hub_.Close(link, error.what());
  }
  return true;
}

bool control_session::HandleDown(net::link_id link) {
  if (!state_.controls.contains(link)) {
    return false;
  }
  Handle(control_down{link});
  return true;
}

void control_session::DialLeader(const wire::not_leader& refusal) {
  // A replica that has replaced another one may be missing from the settings.
  if (!learn_controls_ || refusal.leader_address.empty() ||
      dials_by_address_.contains(refusal.leader_address)) {
    return;
  }
  base::LogInfo("control_added", {{"replica", refusal.leader_name},
                                  {"address", refusal.leader_address}});
  Dial(refusal.leader_address);
}

void control_session::Dial(const std::string& address) {
  const net::dial_id dial =
      hub_.Dial(address, HeartbeatPeriodUs(state_.info.role) / 1'000);
  dials_by_address_[address] = dial;
  links_by_dial_[dial] = 0;
}

void control_session::SetControls(std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (!dials_by_address_.contains(address)) {
      base::LogInfo("control_added", {{"address", address}});
      Dial(address);
    }
  }
  // A session that learns replicas drops none: the settings may lag behind the
  // current replica set.
  if (learn_controls_) {
    return;
  }
  const std::set<std::string> wanted(addresses.begin(), addresses.end());
  for (auto it = dials_by_address_.begin(); it != dials_by_address_.end();) {
    if (wanted.contains(it->first)) {
      ++it;
      continue;
    }
    base::LogInfo("control_removed", {{"address", it->first}});
    const auto dialled = links_by_dial_.extract(it->second);
    hub_.Undial(it->second);
    if (dialled.mapped() != 0) {
      HandleDown(dialled.mapped());
    }
    it = dials_by_address_.erase(it);
  }
}

void control_session::Send(wire::control_message message) {
  Handle(send_to_leader{std::move(message)});
}

void control_session::Update(wire::member_info info,
                             std::uint64_t revision,
                             bool ready) {
  Handle(member_changed{std::move(info), revision, ready});
}

void control_session::Stop() {
  Handle(session_stop{});
}

void control_session::Handle(const session_event& event) {
  for (const session_effect& effect :
       Step(state_, event, base::MonotonicUs())) {
    Run(effect);
  }
}

void control_session::Run(const session_effect& effect) {
  struct runner {
    control_session& self;

    void operator()(const send_control& send) {
      self.hub_.Send(send.link, wire::Encode(send.message));
    }
    void operator()(const lease_extended& lease) {
      if (self.callbacks_.on_lease) {
        self.callbacks_.on_lease(lease.until_us, lease.fencing);
      }
    }
    void operator()(const deliver_to_member& delivery) {
      if (self.callbacks_.on_message) {
        self.callbacks_.on_message(delivery.message);
      }
    }
    void operator()(const session_opened&) {
      if (self.callbacks_.on_opened) {
        self.callbacks_.on_opened();
      }
    }
    void operator()(const leader_unknown& dropped) {
      if (self.callbacks_.on_dropped) {
        self.callbacks_.on_dropped(dropped.message);
      }
    }
  };
  std::visit(runner{*this}, effect);
}

net::hub_callbacks ControlLinks(std::optional<control_session>& session) {
  return {.on_up =
              [&session](net::link_id link, net::dial_id dial,
                         const net::peer_identity& peer) {
                if (session->HandleUp(link, dial, peer)) {
                  base::LogInfo("control_link_up", {{"replica", peer.name}});
                }
              },
          .on_message =
              [&session](net::link_id link, std::string_view body) {
                session->HandleMessage(link, body);
              },
          .on_down =
              [&session](net::link_id link, std::string_view reason) {
                if (session->HandleDown(link)) {
                  base::LogWarning("control_link_down", {{"reason", reason}});
                }
              }};
}

}  // namespace wisteriaroute::member
