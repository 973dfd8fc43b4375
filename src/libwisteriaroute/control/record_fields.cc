#include "libwisteriaroute/control/record_fields.h"

#include <limits>

namespace wisteriaroute::control {

void WriteRanks(const std::vector<group_rank>& from,
                capnp::List<proto::GroupRank>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setAgent(from[i].agent);
    to[i].setIncarnation(from[i].incarnation);
  }
}

std::vector<group_rank> ReadRanks(capnp::List<proto::GroupRank>::Reader from) {
  std::vector<group_rank> ranks;
  ranks.reserve(from.size());
  for (const auto rank : from) {
    ranks.push_back({rank.getAgent(), rank.getIncarnation()});
  }
  return ranks;
}

capnp::ReaderOptions RecordReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
  return options;
}

}  // namespace wisteriaroute::control
