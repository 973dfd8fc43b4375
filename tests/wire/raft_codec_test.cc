#include <doctest/doctest.h>

#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::wire {
namespace {

// The tests in tests/raft encode and decode intact messages of every type.
TEST_CASE("damaged raft messages throw malformed_message") {
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
  // An undecodable replica set must not get into a log.
  request.entries[0].kind = entry_kind::kReplicas;
  CHECK_THROWS_AS(DecodeRaft(Encode(request)), malformed_message);
  request.entries[0].kind = static_cast<entry_kind>(9);
  CHECK_THROWS_AS(DecodeRaft(Encode(request)), malformed_message);
}

}  // namespace
}  // namespace wisteriaroute::wire
