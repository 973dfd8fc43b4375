#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "libwisteriaroute/config/changes.h"
#include "libwisteriaroute/control/sessions.h"
#include "tests/control/fake_session.h"

namespace wisteriaroute::control {
namespace {

constexpr base::time_us kSecondUs = 1'000'000;

// A member that applies configurations some time after it receives them.
class fake_member {
 public:
  fake_member(fake_cluster& cluster, std::string name, wire::member_role role)
      : cluster_(cluster),
        session_(cluster,
                 {.name = std::move(name), .role = role, .incarnation = 1}) {
    session_.on_message = [this](const wire::control_message& message) {
      Deliver(message);
    };
  }

  /**
   * Starts a new incarnation without configuration and lease. The earlier one
   * may only be frozen, so it keeps its lease until that expires.
   */
  void Restart() {
    earlier_runs_.push_back(
        {session_.state().lease_until_us, session_.state().revision});
    config_ = {};
    session_.Restart();
  }

  fake_session& session() { return session_; }
  const std::string& name() const { return session_.state().info.name; }

  /** The lowest revision in use by an incarnation with a valid lease. */
  std::optional<std::uint64_t> RevisionInUse() const {
    std::optional<std::uint64_t> lowest;
    const auto consider = [&](base::time_us until_us, std::uint64_t revision) {
      if (until_us > session_.LocalUs()) {
        lowest = std::min(lowest.value_or(revision), revision);
      }
    };
    consider(session_.state().lease_until_us, session_.state().revision);
    for (const auto& [until_us, revision] : earlier_runs_) {
      consider(until_us, revision);
    }
    return lowest;
  }

 private:
  void Deliver(const wire::control_message& message) {
    const auto* update = std::get_if<wire::config_update>(&message);
    if (update == nullptr) {
      return;
    }
    // Parsing takes time; the revision is applied after it.
    cluster_.At(
        cluster_.Upto(cluster_.Chance(0.1) ? kSecondUs : 5'000),
        [this, update = *update, run = session_.run()] {
          if (run == session_.run() && config::Apply(update, config_) ==
                                           config::update_result::kApplied) {
            session_.Update(session_.state().info, config_.revision);
          }
        });
  }

  fake_cluster& cluster_;
  fake_session session_;
  config::revision_objects config_;
  std::vector<std::pair<base::time_us, std::uint64_t>> earlier_runs_;
};

// An operator that publishes new revisions.
class fake_operator {
 public:
  explicit fake_operator(fake_cluster& cluster) : cluster_(cluster) {
    const std::size_t client = cluster.AddClient({});
    for (std::size_t i = 0; i < 3; ++i) {
      links_.push_back(cluster.Open(client, i));
    }
  }

  void Publish() {
    const std::size_t leader = cluster_.leader();
    ++operations_;
    cluster_.SendToReplica(
        links_[leader],
        wire::admin_request{
            .call = wire::publish_request{
                .base_revision = cluster_.state(leader).durable.config.revision,
                .operation_id = "op" + std::to_string(operations_),
                .changed = {{.kind = "region",
                             .name = "r" + std::to_string(operations_),
                             .body = "{}"}}}});
  }

 private:
  fake_cluster& cluster_;
  std::vector<net::link_id> links_;
  int operations_ = 0;
};

struct schedule_result {
  std::string violation;
  /** Highest revision that was reported as in force everywhere. */
  std::uint64_t in_force = 0;
};

// Guards against a status that reports a revision as in force everywhere while
// a member with a valid lease uses an older one.
schedule_result RunSchedule(std::uint64_t seed) {
  fake_cluster cluster(seed, {.loss = 0.02});
  std::vector<std::unique_ptr<fake_member>> members;
  members.push_back(std::make_unique<fake_member>(cluster, "entry-1",
                                                  wire::member_role::kEntry));
  members.push_back(std::make_unique<fake_member>(cluster, "entry-2",
                                                  wire::member_role::kEntry));
  members.push_back(std::make_unique<fake_member>(cluster, "agent-1",
                                                  wire::member_role::kAgent));
  fake_operator publisher(cluster);
  schedule_result result;
  cluster.on_step = [&](const replica_state& state, base::time_us local_us) {
    const auto in_force = RevisionInForce(state, local_us);
    if (!in_force) {
      return;
    }
    result.in_force = std::max(result.in_force, *in_force);
    for (const auto& member : members) {
      const auto in_use = member->RevisionInUse();
      if (in_use && *in_use < *in_force && result.violation.empty()) {
        result.violation = member->name() + " has revision " +
                           std::to_string(*in_use) + " but " +
                           std::to_string(*in_force) + " is in force";
      }
    }
  };
  for (int i = 0; i < 150; ++i) {
    fake_member& member = *members[cluster.Pick(members.size())];
    switch (cluster.Pick(60)) {
      case 0:
      case 1:
        cluster.Elect(cluster.Pick(3));
        break;
      case 2:
        member.Restart();
        break;
      case 3:
        member.session().Freeze(cluster.Upto(5 * kSecondUs));
        break;
      case 4:
      case 5:
        member.session().BreakLink(cluster.Upto(5 * kSecondUs));
        break;
      default:
        break;
    }
    if (cluster.Chance(0.2)) {
      publisher.Publish();
    }
    cluster.RunFor(100'000);
  }
  return result;
}

TEST_CASE("status never reports a revision that a member with a lease lacks") {
  std::uint64_t in_force = 0;
  CHECK(rc::check("random loss, delay and leader changes", [&] {
    for (int i = 0; i < 10; ++i) {
      const auto seed = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      const schedule_result result = RunSchedule(seed);
      in_force += result.in_force;
      if (!result.violation.empty()) {
        RC_FAIL("seed " + std::to_string(seed) + ": " + result.violation);
      }
    }
  }));
  // Ensures that the property doesn't hold merely because no revision was ever
  // in force.
  MESSAGE("revisions in force over all schedules: " << in_force);
  CHECK(in_force > 1'000);
}

}  // namespace
}  // namespace wisteriaroute::control
