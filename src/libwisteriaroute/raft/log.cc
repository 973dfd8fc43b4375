#include "libwisteriaroute/raft/log.h"

#include <algorithm>
#include <utility>

namespace wisteriaroute::raft {

void replicated_log::Reset(std::uint64_t base_index,
                           std::uint64_t base_term,
                           wire::replica_list replicas) {
  base_index_ = base_index;
  base_term_ = base_term;
  entries_.clear();
  versions_.clear();
  versions_.push_back({.index = base_index, .replicas = std::move(replicas)});
  ++replicas_revision_;
}

std::uint64_t replicated_log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

bool replicated_log::HasTermAt(std::uint64_t index) const {
  return index >= base_index_ && index <= last_index();
}

std::uint64_t replicated_log::TermAt(std::uint64_t index) const {
  return index == base_index_ ? base_term_ : At(index).term;
}

const wire::log_entry& replicated_log::At(std::uint64_t index) const {
  return entries_.at(index - first_index());
}

void replicated_log::Append(wire::log_entry entry) {
  if (entry.kind == wire::entry_kind::kReplicas) {
    versions_.push_back({.index = entry.index,
                         .replicas = wire::DecodeReplicas(entry.payload)});
    ++replicas_revision_;
  }
  entries_.push_back(std::move(entry));
}

void replicated_log::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty()) {
    entries_.pop_back();
  }
  while (versions_.size() > 1 && versions_.back().index >= index) {
    versions_.pop_back();
    ++replicas_revision_;
  }
}

void replicated_log::CompactBefore(std::uint64_t index) {
  while (!entries_.empty() && first_index() < index) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    entries_.pop_front();
  }
  while (versions_.size() > 1 && versions_[1].index <= base_index_) {
    versions_.erase(versions_.begin());
  }
}

std::vector<wire::log_entry> replicated_log::Slice(
    std::uint64_t from,
    std::uint64_t to,
    std::size_t max_bytes) const {
  std::vector<wire::log_entry> result;
  std::size_t bytes = 0;
  for (std::uint64_t index = from; index < to; ++index) {
    const wire::log_entry& entry = At(index);
    bytes += entry.payload.size();
    if (bytes > max_bytes && !result.empty()) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

const wire::replica_list& replicated_log::ReplicasAt(
    std::uint64_t index) const {
  const auto after = std::find_if(
      versions_.begin() + 1, versions_.end(),
      [&](const replica_version& version) { return version.index > index; });
  return std::prev(after)->replicas;
}

const wire::replica_list& replicated_log::replicas() const {
  return versions_.back().replicas;
}

std::uint64_t replicated_log::replicas_index() const {
  return versions_.back().index;
}

}  // namespace wisteriaroute::raft
