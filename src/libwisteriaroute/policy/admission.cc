#include "libwisteriaroute/policy/admission.h"

namespace wisteriaroute::policy {

namespace {

// Responses differ in length; this covers most that run longer than the mean.
constexpr double kRunMargin = 1.5;
// The measured completion rate lags behind, and other entries share the
// servers. Keeping the queue shorter than the deadline allows costs no
// throughput.
constexpr double kWaitMargin = 2;

}  // namespace

double DrainSeconds(const queue_load& load) {
  return load.finished_per_s > 0
             ? static_cast<double>(load.waiting) / load.finished_per_s
             : 1;
}

bool CanMeetDeadline(const queue_load& load, double left_us) {
  if (load.waiting == 0 || load.finished_per_s <= 0) {
    return true;
  }
  return DrainSeconds(load) * 1e6 * kWaitMargin + load.run_us * kRunMargin <=
         left_us;
}

}  // namespace wisteriaroute::policy
