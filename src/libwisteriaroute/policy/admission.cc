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
  return load.completions_per_s > 0
             ? static_cast<double>(load.waiting) / load.completions_per_s
             : 1;
}

bool CanMeetDeadline(const queue_load& load, double remaining_us) {
  if (load.waiting == 0 || load.completions_per_s <= 0) {
    return true;
  }
  return DrainSeconds(load) * 1e6 * kWaitMargin +
             load.mean_run_us * kRunMargin <=
         remaining_us;
}

}  // namespace wisteriaroute::policy
