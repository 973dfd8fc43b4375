#include <doctest/doctest.h>

#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::wire {
namespace {

// Whole messages of every kind go through the codec in tests/raft.
TEST_CASE("damaged raft messages are refused without a crash") {
  const replica_list replicas = {{.name = "a",
                                  .address = "h:1",
                                  .identity = 3,
                                  .voter = true,
                                  .promote_when_ready = true}};
  CHECK(DecodeReplicas(EncodeReplicas(replicas)) == replicas);

  append_request request{.term = 2, .entries = {{.payload = "x"}}};
  const std::string good = Encode(request);
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_THROWS_AS(DecodeRaft(good.substr(0, size)), malformed_message);
  }
  // A replica set is checked before it can get into a log.
  request.entries[0].kind = entry_kind::kReplicas;
  CHECK_THROWS_AS(DecodeRaft(Encode(request)), malformed_message);
  request.entries[0].kind = static_cast<entry_kind>(9);
  CHECK_THROWS_AS(DecodeRaft(Encode(request)), malformed_message);
}

}  // namespace
}  // namespace wisteriaroute::wire
