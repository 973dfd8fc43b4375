#include "libwisteriaroute/wire/placement_edits.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/wire/common.h"
#include "libwisteriaroute/wire/varint.h"

namespace wisteriaroute::wire {

namespace {

expert_list Sorted(expert_list list) {
  std::ranges::sort(list);
  return list;
}

void AppendList(std::string& bytes, const expert_list& list) {
  AppendVarint(bytes, static_cast<std::uint32_t>(list.size()));
  for (const std::uint16_t expert : list) {
    AppendVarint(bytes, expert);
  }
}

expert_list TakeList(std::string_view& bytes) {
  const std::uint32_t size = TakeVarint(bytes);
  if (size > bytes.size()) {
    throw malformed_message("list size exceeds the message size");
  }
  expert_list list(size);
  for (std::uint16_t& expert : list) {
    const std::uint32_t number = TakeVarint(bytes);
    if (number > std::numeric_limits<std::uint16_t>::max()) {
      throw malformed_message("expert number exceeds 16 bits");
    }
    expert = static_cast<std::uint16_t>(number);
  }
  return list;
}

}  // namespace

std::vector<placement_edit> DiffPlacement(const expert_placement& from,
                                          const expert_placement& to) {
  std::vector<placement_edit> edits;
  for (std::uint32_t set = 0; set < to.size(); ++set) {
    for (std::uint32_t rank = 0; rank < to[set].size(); ++rank) {
      const expert_list before = Sorted(from.at(set).at(rank));
      const expert_list after = Sorted(to[set][rank]);
      placement_edit edit{.set = set, .rank = rank};
      std::ranges::set_difference(before, after,
                                  std::back_inserter(edit.removed));
      std::ranges::set_difference(after, before,
                                  std::back_inserter(edit.added));
      if (!edit.removed.empty() || !edit.added.empty()) {
        edits.push_back(std::move(edit));
      }
    }
  }
  return edits;
}

bool ApplyEdits(expert_placement& placement,
                std::span<const placement_edit> edits) {
  for (const placement_edit& edit : edits) {
    if (edit.set >= placement.size() ||
        edit.rank >= placement[edit.set].size()) {
      return false;
    }
    expert_list& list = placement[edit.set][edit.rank];
    for (const std::uint16_t expert : edit.removed) {
      const auto found = std::ranges::find(list, expert);
      if (found == list.end()) {
        return false;
      }
      list.erase(found);
    }
    for (const std::uint16_t expert : edit.added) {
      if (std::ranges::find(list, expert) != list.end()) {
        return false;
      }
      list.push_back(expert);
    }
  }
  return true;
}

std::uint64_t PlacementDigest(const expert_placement& placement) {
  std::string bytes;
  for (const auto& ranks : placement) {
    AppendVarint(bytes, static_cast<std::uint32_t>(ranks.size()));
    for (const expert_list& list : ranks) {
      AppendList(bytes, Sorted(list));
    }
  }
  return base::Hash64(bytes);
}

// Sets and ranks increase, so only their differences are written.
std::string PackEdits(std::span<const placement_edit> edits) {
  std::string bytes;
  std::uint32_t set = 0;
  std::uint32_t rank = 0;
  for (const placement_edit& edit : edits) {
    if (edit.set != set) {
      rank = 0;
    }
    AppendVarint(bytes, edit.set - set);
    AppendVarint(bytes, edit.rank - rank);
    set = edit.set;
    rank = edit.rank;
    AppendList(bytes, edit.removed);
    AppendList(bytes, edit.added);
  }
  return bytes;
}

std::vector<placement_edit> UnpackEdits(std::string_view bytes) {
  std::vector<placement_edit> edits;
  std::uint32_t set = 0;
  std::uint32_t rank = 0;
  while (!bytes.empty()) {
    const std::uint32_t sets = TakeVarint(bytes);
    rank = sets != 0 ? 0 : rank;
    set += sets;
    rank += TakeVarint(bytes);
    placement_edit& edit = edits.emplace_back();
    edit.set = set;
    edit.rank = rank;
    edit.removed = TakeList(bytes);
    edit.added = TakeList(bytes);
  }
  return edits;
}

}  // namespace wisteriaroute::wire
