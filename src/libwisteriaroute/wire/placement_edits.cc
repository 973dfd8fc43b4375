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

// Bits of the number of added experts beside that of removed ones; the largest
// value means that a varint with the rest follows.
constexpr std::uint32_t kSizeBits = 3;
constexpr std::uint32_t kMaxSize = (1U << kSizeBits) - 1;

void AppendExperts(std::string& bytes, const expert_list& list) {
  for (const std::uint16_t expert : list) {
    AppendVarint(bytes, expert);
  }
}

expert_list TakeExperts(std::string_view& bytes, std::uint32_t size) {
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
      AppendVarint(bytes, static_cast<std::uint32_t>(list.size()));
      AppendExperts(bytes, Sorted(list));
    }
  }
  return base::Hash64(bytes);
}

// Sets and ranks increase, so the differences of their index among all lists
// are small. An edit of one expert takes four bytes if the experts are below
// 128; a coordinator sends 130 edits to each of 63 ranks.
std::string PackEdits(std::span<const placement_edit> edits) {
  std::string bytes;
  if (edits.empty()) {
    return bytes;
  }
  std::uint32_t ranks = 0;
  for (const placement_edit& edit : edits) {
    ranks = std::max(ranks, edit.rank + 1);
  }
  AppendVarint(bytes, ranks);
  std::uint32_t last = 0;
  for (const placement_edit& edit : edits) {
    const std::uint32_t index = edit.set * ranks + edit.rank;
    AppendVarint(bytes, index - last);
    last = index;
    const auto removed = static_cast<std::uint32_t>(edit.removed.size());
    const auto added = static_cast<std::uint32_t>(edit.added.size());
    AppendVarint(bytes, (removed << kSizeBits) | std::min(added, kMaxSize));
    if (added >= kMaxSize) {
      AppendVarint(bytes, added - kMaxSize);
    }
    AppendExperts(bytes, edit.removed);
    AppendExperts(bytes, edit.added);
  }
  return bytes;
}

std::vector<placement_edit> UnpackEdits(std::string_view bytes) {
  std::vector<placement_edit> edits;
  if (bytes.empty()) {
    return edits;
  }
  const std::uint32_t ranks = TakeVarint(bytes);
  if (ranks == 0) {
    throw malformed_message("edits without ranks");
  }
  std::uint32_t index = 0;
  while (!bytes.empty()) {
    index += TakeVarint(bytes);
    const std::uint32_t sizes = TakeVarint(bytes);
    std::uint32_t added = sizes & kMaxSize;
    if (added == kMaxSize) {
      added += TakeVarint(bytes);
    }
    placement_edit& edit = edits.emplace_back();
    edit.set = index / ranks;
    edit.rank = index % ranks;
    edit.removed = TakeExperts(bytes, sizes >> kSizeBits);
    edit.added = TakeExperts(bytes, added);
  }
  return edits;
}

}  // namespace wisteriaroute::wire
