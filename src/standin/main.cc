#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "standin/reporting_server.h"
#include "standin/server.h"

DEFINE_string(mode,
              "engine",
              "engine: a model engine; plain: a plain service; reporting: a "
              "server without an agent, which reports itself to control");
DEFINE_string(listen,
              "127.0.0.1:0",
              "IP:port to listen on; port 0: any free port");
DEFINE_string(model, "standin", "name of the model that is served");
DEFINE_string(group, "", "model group of which this engine is a rank");
DEFINE_uint32(rank, 0, "rank within the group");
DEFINE_uint32(slots, 16, "requests that run at once");
DEFINE_uint32(queue, 256, "requests that wait at most");
DEFINE_uint32(step_time_us, 5'000, "time of one step");
DEFINE_double(prefill_us_per_token, 20, "prefill time per uncached token");
DEFINE_uint32(cache_blocks, 4'096, "blocks of 64 bytes in the prefix cache");
DEFINE_uint64(kv_tokens, 200'000, "tokens of KV memory that /load reports");
DEFINE_uint32(load_lag_ms, 200, "age of the sample that /load reports");
DEFINE_uint32(cache_lag_ms, 500, "age at which /cache/events shows an event");
DEFINE_uint64(cache_gap_every, 0, "omit every n-th cache event; 0: none");
DEFINE_bool(checks_fencing, true, "refuse orders with a stale fencing number");
DEFINE_uint64(slot_bytes, 1'000'000, "bytes staged per layer and expert slot");
DEFINE_uint64(store_bytes_per_s, 500'000'000, "rate of the weight store");
DEFINE_uint32(booking_time_ms, 0, "time that one booking takes (plain)");
DEFINE_string(id, "", "id of this server (reporting)");
DEFINE_string(service, "", "service of this server (reporting)");
DEFINE_string(
    controls,
    "",
    "HTTP addresses (IP:port) of the control replicas, comma-separated "
    "(reporting)");
DEFINE_string(data_center, "", "data centre of this server (reporting)");
DEFINE_string(crash_marker,
              "",
              "exit on a request whose body contains this text");
DEFINE_string(crash_part,
              "",
              "exit when the answer to a prompt with this shared part begins "
              "(reporting)");

namespace {

using namespace wisteriaroute;

standin::server_settings SettingsFromFlags() {
  return {.plain = FLAGS_mode == "plain",
          .model = FLAGS_model,
          .engine = {.slots = FLAGS_slots,
                     .queue = FLAGS_queue,
                     .step_time_us = FLAGS_step_time_us,
                     .prefill_us_per_token = FLAGS_prefill_us_per_token,
                     .cache_blocks = FLAGS_cache_blocks,
                     .kv_tokens = FLAGS_kv_tokens},
          .rank = {.group = FLAGS_group,
                   .rank = FLAGS_rank,
                   .step_time_us = FLAGS_step_time_us,
                   .slot_bytes = FLAGS_slot_bytes,
                   .store_bytes_per_s = FLAGS_store_bytes_per_s,
                   .checks_fencing = FLAGS_checks_fencing},
          .load_lag_us = FLAGS_load_lag_ms * 1'000L,
          .cache_lag_us = FLAGS_cache_lag_ms * 1'000L,
          .cache_gap_every = FLAGS_cache_gap_every,
          .booking_time_us = FLAGS_booking_time_ms * 1'000L,
          .crash_marker = FLAGS_crash_marker};
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

int RunReporting() {
  const standin::reporting_settings settings{
      .id = FLAGS_id,
      .service = FLAGS_service,
      .data_center = FLAGS_data_center,
      .controls = SplitAtCommas(FLAGS_controls),
      .slots = FLAGS_slots,
      .crash_part = FLAGS_crash_part};
  if (settings.id.empty() || settings.service.empty() ||
      settings.controls.empty()) {
    std::cerr << "--id, --service and --controls are required\n";
    return 2;
  }
  net::loop event_loop;
  standin::reporting_server server(event_loop, settings);
  event_loop.OnSignal(SIGTERM, [&] { server.Leave(); });
  event_loop.OnSignal(SIGINT, [&] { event_loop.Stop(); });
  std::cout << "listening " << server.Listen(FLAGS_listen) << std::endl;
  event_loop.Run();
  return 0;
}

int Run() {
  if (FLAGS_mode == "reporting") {
    return RunReporting();
  }
  if (FLAGS_mode != "engine" && FLAGS_mode != "plain") {
    std::cerr << "--mode must be engine, plain or reporting\n";
    return 2;
  }
  if (FLAGS_step_time_us == 0 || FLAGS_store_bytes_per_s == 0) {
    std::cerr << "--step_time_us and --store_bytes_per_s must not be 0\n";
    return 2;
  }
  net::loop event_loop;
  standin::server server(event_loop, SettingsFromFlags());
  event_loop.OnSignal(SIGTERM, [&] { event_loop.Stop(); });
  event_loop.OnSignal(SIGINT, [&] { event_loop.Stop(); });
  std::cout << "listening " << server.Listen(FLAGS_listen) << std::endl;
  event_loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "A model engine or a plain service for tests and demos.\n"
      "  wisteriaroute-standin --mode engine|plain|reporting --listen IP:port");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (argc > 1) {
    std::cerr << "unexpected argument: " << argv[1] << "\n";
    return 2;
  }
  try {
    std::string help;
    if (gflags::GetCommandLineOption("help", &help) && help == "true") {
      gflags::ShowUsageWithFlagsRestrict(argv[0], "standin/main");
      return 0;
    }
    return Run();
  } catch (const std::exception& error) {
    std::cerr << "wisteriaroute-standin: " << error.what() << "\n";
    return 1;
  }
}
