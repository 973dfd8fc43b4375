#include "libwisteriaroute/config/changes.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriaroute::config {
namespace {

using object_list = std::vector<wire::config_object>;

/** Random objects. Few distinct names and bodies make sets overlap. */
rc::Gen<object_list> Objects() {
  const auto object = rc::gen::build<wire::config_object>(
      rc::gen::set(&wire::config_object::kind,
                   rc::gen::element<std::string>("model", "region", "service")),
      rc::gen::set(&wire::config_object::name,
                   rc::gen::element<std::string>("a", "b", "c", "d")),
      rc::gen::set(&wire::config_object::body,
                   rc::gen::element<std::string>("{}", "{\"x\":1}")));
  return rc::gen::map(
      rc::gen::container<object_list>(object),
      [](const object_list& list) { return Apply(object_list{}, list, {}); });
}

TEST_CASE("the difference of two sets turns one into the other") {
  CHECK(rc::check("applying the difference gives the second set", [] {
    const object_list from = *Objects();
    const object_list to = *Objects();
    const set_changes changes = Diff(from, to);
    RC_ASSERT(Apply(from, changes.changed, changes.removed) == to);
    RC_ASSERT(changes.empty() == (from == to));
    RC_ASSERT((Digest(from) == Digest(to)) == (from == to));
    object_list reversed = to;
    std::ranges::reverse(reversed);
    RC_ASSERT(Digest(reversed) == Digest(to));
    RC_ASSERT(Diff(from, reversed) == changes);
    RC_ASSERT(RequestedChanges({.changed = reversed, .full = true}, from) ==
              changes);
  }));
}

TEST_CASE("configuration updates apply in order only") {
  const wire::config_object a{.kind = "region", .name = "a", .body = "{}"};
  const wire::config_object b{.kind = "region", .name = "b", .body = "{}"};
  revision_objects current{.revision = 5, .objects = {a}};

  SUBCASE("a delta based on the current revision is applied") {
    CHECK(Apply({.base_revision = 5,
                 .revision = 6,
                 .changed = {b},
                 .removed = {{.kind = "region", .name = "a"}}},
                current) == update_result::kApplied);
    CHECK(current == revision_objects{.revision = 6, .objects = {b}});
  }
  SUBCASE("a snapshot replaces everything") {
    CHECK(Apply({.base_revision = 0, .revision = 9, .changed = {b}}, current) ==
          update_result::kApplied);
    CHECK(current == revision_objects{.revision = 9, .objects = {b}});
  }
  SUBCASE("a delta based on another revision is refused") {
    CHECK(Apply({.base_revision = 6, .revision = 7, .changed = {b}}, current) ==
          update_result::kBaseMismatch);
    CHECK(current == revision_objects{.revision = 5, .objects = {a}});
  }
  SUBCASE("an older snapshot is ignored") {
    CHECK(Apply({.base_revision = 0, .revision = 5, .changed = {b}}, current) ==
          update_result::kNotNewer);
    CHECK(current == revision_objects{.revision = 5, .objects = {a}});
  }
}

}  // namespace
}  // namespace wisteriaroute::config
