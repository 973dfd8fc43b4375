#ifndef LIBWISTERIAROUTE_MEMBER_EVACUATION_VIEW_H_
#define LIBWISTERIAROUTE_MEMBER_EVACUATION_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/evacuation_messages.h"

namespace wisteriaroute::member {

/** The evacuated data centres as an entry knows them from control. */
class evacuation_view {
 public:
  struct changes {
    std::vector<std::string> started;
    std::vector<std::string> ended;
  };

  /** Applies a list unless a newer one was applied before. */
  changes Apply(const wire::evacuation_list& list, base::time_us now_us);

  bool IsEvacuated(std::string_view data_center) const {
    return data_centers_.contains(data_center);
  }
  /**
   * When the last evacuation of the data centre ended. Returns nothing during
   * an evacuation, or if none has ended recently.
   */
  std::optional<base::time_us> EndedUs(std::string_view data_center) const;

  const std::set<std::string, std::less<>>& data_centers() const {
    return data_centers_;
  }

 private:
  struct end {
    std::uint64_t index = 0;
    base::time_us at_us = 0;
  };

  /** Index of the applied list. */
  std::uint64_t index_ = 0;
  std::set<std::string, std::less<>> data_centers_;
  std::map<std::string, end, std::less<>> ended_;
};

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_EVACUATION_VIEW_H_
