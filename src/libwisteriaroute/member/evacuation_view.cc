#include "libwisteriaroute/member/evacuation_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriaroute::member {

evacuation_view::changes evacuation_view::Apply(
    const wire::evacuation_list& list,
    base::time_us now_us) {
  // A replaced leader that doesn't know yet that it is replaced may still send
  // the list of before an order.
  if (list.index < index_) {
    return {};
  }
  index_ = list.index;
  const std::set<std::string, std::less<>> next(list.data_centers.begin(),
                                                list.data_centers.end());
  changes result;
  std::ranges::set_difference(next, data_centers_,
                              std::back_inserter(result.started));
  std::ranges::set_difference(data_centers_, next,
                              std::back_inserter(result.ended));
  data_centers_ = next;
  std::map<std::string, end, std::less<>> ended;
  for (const wire::ended_evacuation& one : list.ended) {
    // A later message about the same end must not move the moment.
    const auto known = ended_.find(one.data_center);
    ended[one.data_center] =
        known != ended_.end() && known->second.index == one.index
            ? known->second
            : end{.index = one.index, .at_us = now_us - one.age_ms * 1'000};
  }
  ended_ = std::move(ended);
  for (const std::string& name : result.ended) {
    // Requests begin when this entry learns of the end, not when control does.
    ended_[name].at_us = now_us;
  }
  return result;
}

std::optional<base::time_us> evacuation_view::EndedUs(
    std::string_view data_center) const {
  const auto found = ended_.find(data_center);
  return found == ended_.end() ? std::nullopt
                               : std::optional(found->second.at_us);
}

}  // namespace wisteriaroute::member
