#include <doctest/doctest.h>

#include <chrono>
#include <iostream>
#include <string>

#include "libwisteriaroute/control/control_state.h"

namespace wisteriaroute::control {
namespace {

/** The departure of one of many servers. */
command Departure(std::uint64_t number) {
  return {.wall_ms = 1'796'000'000'000 + static_cast<base::time_ms>(number),
          .proposer = 0x9e3779b97f4a7c15,
          .proposal = number,
          .body = departure_command{
              .name = "i-" + std::to_string(0x7f3a0000 + number),
              .incarnation = 1'796'000'000'000 + number}};
}

// Guards against departures that make the log or its snapshots expensive. The
// largest deployment replaces 380 of 2,300 servers a day; 1 MB of snapshot for
// 16,384 departures is a tenth of a control replica's 128 MB disk at most.
TEST_CASE("departures cost the log little") {
  for (const std::uint64_t count : {218U, 2'300U, 16'384U}) {
    control_state state;
    std::size_t log_bytes = 0;
    const auto began = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::string payload = EncodeCommand(Departure(i));
      log_bytes += payload.size();
      Apply(state, DecodeCommand(payload), i + 1);
    }
    const auto took = std::chrono::steady_clock::now() - began;
    const std::string snapshot = EncodeState(state);
    CHECK(DecodeState(snapshot) == state);
    std::cout << count << " departures: "
              << static_cast<double>(log_bytes) / static_cast<double>(count)
              << " bytes of the log each, snapshot of " << snapshot.size()
              << " bytes, "
              << std::chrono::duration<double, std::micro>(took).count() /
                     static_cast<double>(count)
              << " us each to encode, decode and apply\n";
    CHECK(log_bytes <= count * 256);
    CHECK(snapshot.size() <= 4'096 + count * 128);
  }
}

TEST_CASE("the oldest departures are dropped at the limit") {
  departure_table table;
  for (std::uint64_t i = 0; i <= kMaxDepartures; ++i) {
    RecordDeparture(table, {"i-1", i + 1}, static_cast<base::time_ms>(i));
  }
  CHECK(table.runs.size() == kMaxDepartures);
  CHECK_FALSE(HasDeparted(table, "i-1", 1));
  CHECK(LastDeparted(table, "i-1") == kMaxDepartures + 1);
  ExpireDepartures(table, kDepartureKeptMs + 10);
  CHECK_FALSE(HasDeparted(table, "i-1", 11));
  CHECK(HasDeparted(table, "i-1", 12));
}

}  // namespace
}  // namespace wisteriaroute::control
