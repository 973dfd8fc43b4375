#include "libwisteriaroute/wire/placement_edits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "libwisteriaroute/wire/common.h"
#include "libwisteriaroute/wire/packed_counts.h"

namespace wisteriaroute::wire {
namespace {

constexpr std::uint16_t kExperts = 20;

/** A placement of 3 sets and 4 ranks with different experts in each list. */
expert_placement AnyPlacement() {
  expert_placement placement(3, std::vector<expert_list>(4));
  for (auto& ranks : placement) {
    for (expert_list& list : ranks) {
      for (std::uint16_t e = 0; e < kExperts; ++e) {
        if (*rc::gen::inRange(0, 3) == 0) {
          list.push_back(e);
        }
      }
      if (*rc::gen::arbitrary<bool>()) {
        std::ranges::reverse(list);
      }
    }
  }
  return placement;
}

TEST_CASE("edits turn one placement into the other") {
  CHECK(rc::check("after packing and unpacking", [] {
    const expert_placement from = AnyPlacement();
    const expert_placement to = AnyPlacement();
    expert_placement result = from;
    const auto edits = DiffPlacement(from, to);
    const auto unpacked = UnpackEdits(PackEdits(edits));
    RC_ASSERT(unpacked == edits);
    RC_ASSERT(ApplyEdits(result, unpacked));
    RC_ASSERT(PlacementDigest(result) == PlacementDigest(to));
    RC_ASSERT(DiffPlacement(result, to).empty());
  }));
}

// A rank that applied edits to another base than the coordinator's would route
// tokens to ranks without the expert.
TEST_CASE("edits that don't fit the placement are refused") {
  expert_placement placement = {{{1, 2}, {3}}};
  const std::vector<placement_edit> absent = {{.removed = {9}}};
  const std::vector<placement_edit> twice = {{.added = {1}}};
  const std::vector<placement_edit> outside = {{.rank = 2, .added = {4}}};
  CHECK_FALSE(ApplyEdits(placement, absent));
  CHECK_FALSE(ApplyEdits(placement, twice));
  CHECK_FALSE(ApplyEdits(placement, outside));
  const expert_placement same = {{{2, 1}, {3}}};
  const expert_placement other = {{{2}, {1, 3}}};
  CHECK(PlacementDigest({{{1, 2}, {3}}}) == PlacementDigest(same));
  CHECK(PlacementDigest(same) != PlacementDigest(other));
}

TEST_CASE("damaged edits and counts decode or throw malformed_message") {
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    try {
      UnpackEdits(bytes);
    } catch (const malformed_message&) {
    }
    try {
      UnpackCounts(bytes);
    } catch (const malformed_message&) {
    }
  }));
}

TEST_CASE("packed counts") {
  CHECK(rc::check("unpack to the same numbers", [] {
    const auto counts = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::oneOf(rc::gen::just<std::uint32_t>(0),
                       rc::gen::inRange<std::uint32_t>(0, 40),
                       rc::gen::arbitrary<std::uint32_t>()));
    RC_ASSERT(UnpackCounts(PackCounts(counts)) == counts);
  }));

  // The counts of a pass of few requests are mostly 0.
  std::vector<std::uint32_t> sparse(2'000);
  for (std::size_t i = 0; i < sparse.size(); i += 10) {
    sparse[i] = 3;
  }
  CHECK(PackCounts(sparse).size() <= 202);
  CHECK_THROWS_AS(UnpackCounts("\xff\xff\xff\xff\x0f"), malformed_message);
}

}  // namespace
}  // namespace wisteriaroute::wire
