#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/member/evacuation_view.h"
#include "tests/control/fake_session.h"

namespace wisteriaroute::control {
namespace {

using data_centers = std::set<std::string, std::less<>>;

constexpr base::time_us kResendUs = 1'500'000;

/** An operator that gives one order after the other. Each is sent again, to any
 * replica, until it is acknowledged. */
class fake_operator {
 public:
  explicit fake_operator(fake_cluster& cluster) : cluster_(cluster) {
    client_ = cluster.AddClient(
        {.on_message = [this](net::link_id link,
                              const wire::control_message& message) {
          HandleReply(link, message);
        }});
  }

  /** The data centres that must be evacuated; unknown during an order. */
  const data_centers& acknowledged() const { return acknowledged_; }
  bool busy() const { return busy_; }
  int refusals() const { return refusals_; }
  /** A log index up to which the last order is certainly applied. */
  std::uint64_t applied_index() const { return applied_index_; }
  /** Probability that an acknowledgement is lost. */
  double lost_replies = 0.3;

  void Begin(const wire::evacuation_order& order) {
    busy_ = true;
    order_ = order;
    Send();
  }

 private:
  void Send() {
    // An operator that gives up on a call closes its connection.
    cluster_.Close(link_);
    link_ = cluster_.Open(client_, cluster_.Pick(3));
    cluster_.SendToReplica(link_, wire::admin_request{++call_, order_});
    cluster_.At(kResendUs, [this, call = call_] {
      if (busy_ && call == call_) {
        Send();
      }
    });
  }

  void HandleReply(net::link_id link, const wire::control_message& message) {
    const auto* reply = std::get_if<wire::admin_reply>(&message);
    if (reply == nullptr || link != link_ || reply->correlation != call_ ||
        !busy_ || cluster_.Chance(lost_replies)) {
      return;
    }
    refusals_ += reply->result == wire::admin_result::kRefused ? 1 : 0;
    if (reply->result != wire::admin_result::kOk) {
      cluster_.At(200'000, [this, call = call_] {
        if (busy_ && call == call_) {
          Send();
        }
      });
      return;
    }
    for (std::size_t i = 0; i < 3; ++i) {
      applied_index_ =
          std::max(applied_index_, cluster_.state(i).applied_index);
    }
    if (order_.evacuated) {
      acknowledged_.insert(order_.data_center);
    } else {
      acknowledged_.erase(order_.data_center);
    }
    busy_ = false;
  }

  fake_cluster& cluster_;
  std::size_t client_ = 0;
  net::link_id link_ = 0;
  std::uint64_t call_ = 0;
  wire::evacuation_order order_;
  bool busy_ = false;
  int refusals_ = 0;
  std::uint64_t applied_index_ = 0;
  data_centers acknowledged_;
};

/** An entry, with the newest list that it has received. */
struct fake_entry {
  fake_entry(fake_cluster& cluster, const std::string& name)
      : session(cluster,
                {.name = name,
                 .role = wire::member_role::kEntry,
                 .incarnation = 1}) {
    session.on_message = [this](const wire::control_message& message) {
      if (const auto* update = std::get_if<wire::member_update>(&message)) {
        Receive(update->evacuations);
      }
    };
  }

  void Receive(const wire::evacuation_list& list) {
    if (session.run() != run) {
      run = session.run();
      view = {};
      newest = {};
    }
    view.Apply(list, session.LocalUs());
    if (list.index >= newest.index) {
      newest = list;
    }
    // Guards against an entry that goes back to the list of before an order.
    RC_ASSERT(view.data_centers() == data_centers(newest.data_centers.begin(),
                                                  newest.data_centers.end()));
  }

  fake_session session;
  int run = 0;
  member::evacuation_view view;
  wire::evacuation_list newest;
};

wire::evacuation_order RandomOrder(fake_cluster& cluster) {
  return {.data_center = "dc" + std::to_string(cluster.Pick(3)),
          .evacuated = cluster.Chance(0.5)};
}

/** Something that happens between two orders. */
void Disturb(fake_cluster& cluster, fake_entry& entry) {
  switch (cluster.Pick(6)) {
    case 0:
      return cluster.Elect((cluster.leader() + 1 + cluster.Pick(2)) % 3);
    case 1:
      return cluster.Reload((cluster.leader() + 1) % 3);
    case 2:
      return entry.session.BreakLink(2'000'000);
    case 3:
      return entry.session.Restart();
    case 4:
      return entry.session.Freeze(cluster.Upto(5'000'000));
    default:
      return;
  }
}

// Guards against an acknowledged order that is undone by a restart, a snapshot,
// another leader or a resend after a lost acknowledgement.
TEST_CASE("an acknowledged order holds until the next one") {
  CHECK(rc::check("with lost, late and reordered messages", [] {
    fake_cluster cluster(*rc::gen::arbitrary<std::uint64_t>(),
                         {.loss = 0.05, .duplicate = 0.05, .reorder = true});
    fake_operator orders(cluster);
    std::vector<std::unique_ptr<fake_entry>> entries;
    for (const char* name : {"e1", "e2"}) {
      entries.push_back(std::make_unique<fake_entry>(cluster, name));
    }
    cluster.on_step = [&](const replica_state& state, base::time_us) {
      if (!orders.busy() && state.applied_index >= orders.applied_index()) {
        RC_ASSERT(state.durable.evacuations.data_centers ==
                  orders.acknowledged());
      }
    };
    for (int i = 0; i < 60; ++i) {
      if (!orders.busy()) {
        orders.Begin(RandomOrder(cluster));
      }
      cluster.RunFor(cluster.Upto(400'000));
      Disturb(cluster, *entries[cluster.Pick(2)]);
    }
    cluster.EndFaults();
    orders.lost_replies = 0;
    cluster.RunFor(20'000'000);
    RC_ASSERT(!orders.busy());
    // A list that a link lost follows with the next order.
    orders.Begin({.data_center = "dc0", .evacuated = true});
    cluster.RunFor(10'000'000);
    RC_ASSERT(!orders.busy());
    RC_ASSERT(orders.refusals() == 0);
    for (const auto& entry : entries) {
      RC_ASSERT(entry->view.data_centers() == orders.acknowledged());
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::control
