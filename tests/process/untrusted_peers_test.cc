#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/net/link_hub.h"
#include "tests/process/lone_control.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {
namespace {

// Guards against peers on a network that anybody can use: whatever they send to
// the port for links, the process lives, and its memory and descriptors are
// bounded. The numbers of peers and the bounds were fixed before the limits of
// links were.

constexpr rlim_t kDescriptors = 512;
constexpr std::size_t kMostDescriptors = 448;
constexpr std::size_t kMostMemoryKb = 64 * 1024;
constexpr base::time_us kSendLimitUs = 8'000'000;

/** Little-endian words of a frame of Cap'n Proto. */
std::string Words32(std::initializer_list<std::uint32_t> words) {
  std::string text;
  for (const std::uint32_t word : words) {
    for (int shift = 0; shift < 32; shift += 8) {
      text += static_cast<char>(word >> shift & 255);
    }
  }
  return text;
}

void CheckIsServing(const lone_control& control) {
  net::loop event_loop;
  base::hybrid_clock clock;
  bool up = false;
  net::link_hub hub({.event_loop = &event_loop,
                     .self = {.name = "operator", .role = "wrctl"},
                     .cluster_key = "",
                     .clock = &clock},
                    {.on_up = [&](net::link_id, net::dial_id,
                                  const net::peer_identity&) { up = true; },
                     .on_message = [](net::link_id, std::string_view) {},
                     .on_down = [](net::link_id, std::string_view) {}});
  hub.Dial(control.links());
  CHECK(RunUntil(
      event_loop, [&] { return up; }, 20'000'000));
  MESSAGE("peak memory, KiB: " << control.PeakMemoryKb());
  CHECK(control.IsAlive());
  CHECK(control.PeakMemoryKb() < kMostMemoryKb);
}

TEST_CASE("links of peers that send large messages before they authenticate") {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  constexpr std::size_t kPeers = 24;
  constexpr std::size_t kBytes = 7 * 1024 * 1024;
  // One segment of 8 MiB, which never becomes complete.
  const std::string head = Words32({0, 1024 * 1024});
  peer_crowd crowd(control.links(), kPeers);
  crowd.Send(head, std::string(64 * 1024, '\0'), kBytes, kSendLimitUs);
  CheckIsServing(control);
}

TEST_CASE("links of peers that begin calls without end") {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  constexpr std::size_t kPeers = 8;
  constexpr std::size_t kBytes = 4 * 1024 * 1024;
  // Bootstrap messages with different question ids; none is finished. The
  // words: the root pointer (one data word, one pointer), the discriminant 8
  // and a pointer to Bootstrap (one data word, one pointer), its id, and null.
  std::string messages;
  for (std::uint32_t id = 0; messages.size() < kBytes; ++id) {
    messages +=
        Words32({0, 5, 0, 0x00010001, 8, 0, 0, 0x00010001, id, 0, 0, 0});
  }
  peer_crowd crowd(control.links(), kPeers);
  crowd.Send("", messages, kBytes, kSendLimitUs);
  CheckIsServing(control);
}

TEST_CASE("links of peers that connect and send nothing") {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  constexpr std::size_t kPeers = 600;
  std::size_t most = 0;
  {
    peer_crowd crowd(control.links(), kPeers);
    for (int i = 0; i < 30; ++i) {
      crowd.Reconnect();
      usleep(100'000);
      most = std::max(most, control.Descriptors());
    }
  }
  MESSAGE("most descriptors: " << most);
  CHECK(most < kMostDescriptors);
  CheckIsServing(control);
}

}  // namespace
}  // namespace wisteriaroute::testing
