#include "libwisteriaroute/wire/evacuation_fields.h"

namespace wisteriaroute::wire {

void WriteFields(const evacuation_order& from,
                 proto::EvacuationOrder::Builder to) {
  to.setDataCenter(from.data_center);
  to.setEvacuated(from.evacuated);
}

evacuation_order ReadFields(proto::EvacuationOrder::Reader from) {
  return {.data_center = from.getDataCenter(),
          .evacuated = from.getEvacuated()};
}

void WriteFields(const evacuation_list& from,
                 proto::EvacuationList::Builder to) {
  to.setIndex(from.index);
  auto names =
      to.initDataCenters(static_cast<unsigned>(from.data_centers.size()));
  for (unsigned i = 0; i < from.data_centers.size(); ++i) {
    names.set(i, from.data_centers[i]);
  }
  auto ended = to.initEnded(static_cast<unsigned>(from.ended.size()));
  for (unsigned i = 0; i < from.ended.size(); ++i) {
    ended[i].setDataCenter(from.ended[i].data_center);
    ended[i].setIndex(from.ended[i].index);
    ended[i].setAgeMs(from.ended[i].age_ms);
  }
}

evacuation_list ReadFields(proto::EvacuationList::Reader from) {
  evacuation_list list{.index = from.getIndex()};
  for (const auto name : from.getDataCenters()) {
    list.data_centers.emplace_back(name.cStr(), name.size());
  }
  for (const auto end : from.getEnded()) {
    list.ended.push_back({.data_center = end.getDataCenter(),
                          .index = end.getIndex(),
                          .age_ms = end.getAgeMs()});
  }
  return list;
}

}  // namespace wisteriaroute::wire
