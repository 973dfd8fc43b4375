#include "libwisteriaroute/storage/log_store.h"

#include <fcntl.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "libwisteriaroute/storage/snapshot_file.h"

namespace wisteriaroute::storage {

namespace {

constexpr std::string_view kMetadataName = "metadata";
/** Holds all files of a new directory until they are complete. */
constexpr std::string_view kInitialName = "initial";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::size_t kBufferBytes = 1 << 20;
constexpr std::string_view kProbeName = "probe";
constexpr std::size_t kProbeBytes = 4096;

std::string NumberedName(std::string_view prefix, std::uint64_t index) {
  char digits[21];
  std::snprintf(digits, sizeof digits, "%020llu",
                static_cast<unsigned long long>(index));
  return std::string(prefix) + digits;
}

using numbered_files = std::map<std::uint64_t, std::filesystem::path>;

/** Returns the files with this prefix, by the number in their name. */
numbered_files FindFiles(const std::filesystem::path& directory,
                         std::string_view prefix) {
  numbered_files found;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    const std::string name = entry.path().filename();
    if (!name.starts_with(prefix) || name.ends_with(kTemporarySuffix)) {
      continue;
    }
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed =
        std::from_chars(name.data() + prefix.size(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      throw damaged_storage(entry.path().string() +
                            " is not a file of this program");
    }
    found.emplace(number, entry.path());
  }
  return found;
}

}  // namespace

log_store::log_store(std::filesystem::path directory,
                     const store_options& options)
    : directory_(std::move(directory)), options_(options) {
  CreateDirectories(directory_);
  lock_ = file(directory_ / "lock", O_RDWR | O_CREAT);
  if (!lock_.TryLock()) {
    throw std::runtime_error("another process uses " + directory_.string());
  }
  RemoveTemporaryFiles();
  completed_initialization_ = CompleteInitialization();
  Load();
}

void log_store::Reopen() {
  tail_.Close();
  segments_.clear();
  buffer_.clear();
  content_ = {};
  last_index_ = synced_index_ = snapshot_index_ = 0;
  empty_ = true;
  RemoveTemporaryFiles();
  CompleteInitialization();
  Load();
}

void log_store::WriteAgain(raft::persist batch) {
  if (batch.reset_log_to == 0) {
    // Reopening may have found a snapshot that covers entries which were still
    // to be written, and has begun the log after it.
    const std::uint64_t first = segments_.front().first_index;
    std::erase_if(batch.entries,
                  [&](const auto& entry) { return entry.index < first; });
    if (batch.truncate_from != 0) {
      batch.truncate_from = std::max(batch.truncate_from, first);
    }
    if (!batch.entries.empty() &&
        (batch.truncate_from == 0 ||
         batch.truncate_from > batch.entries.front().index)) {
      batch.truncate_from = batch.entries.front().index;
    }
  }
  Write(batch);
}

void log_store::ProbeDisk() const {
  std::filesystem::path probe = directory_ / kProbeName;
  probe += kTemporarySuffix;
  WriteNewFile(probe, std::string(kProbeBytes, '\0'));
  RemoveFile(probe);
}

void log_store::Initialize(const raft::stored_state& content) {
  if (!empty_) {
    throw std::logic_error("the data directory holds a log");
  }
  initial_files files;
  std::uint64_t first_index = 1;
  if (content.latest_snapshot) {
    const raft::snapshot& base = *content.latest_snapshot;
    files.emplace_back(NumberedName(kSnapshotPrefix, base.last_index),
                       EncodeSnapshot(base));
    first_index = base.last_index + 1;
  }
  if (!content.entries.empty()) {
    first_index = content.entries.front().index;
  }
  std::string segment = EncodeSegmentHeader(first_index);
  for (const wire::log_entry& entry : content.entries) {
    AppendRecord(entry, first_index - 1, {first_index, segment.size()},
                 segment);
  }
  files.emplace_back(NumberedName(kSegmentPrefix, first_index),
                     std::move(segment));
  files.emplace_back(kMetadataName, EncodeMetadata(content.metadata));
  ReplaceFile(directory_ / kInitialName, EncodeInitialFiles(files));
  CompleteInitialization();
  Load();
}

bool log_store::CompleteInitialization() {
  const std::filesystem::path initial = directory_ / kInitialName;
  if (!std::filesystem::exists(initial)) {
    return false;
  }
  // The metadata is written last, so without it other files may be incomplete.
  if (!std::filesystem::exists(directory_ / kMetadataName)) {
    for (const auto& [name, content] :
         ParseInitialFiles(initial, ReadFile(initial))) {
      if (name == kMetadataName) {
        SyncDirectory(directory_);
        ReplaceFile(directory_ / name, content);
      } else {
        WriteNewFile(directory_ / name, content);
      }
    }
  }
  // Must be durable before the replica votes: a directory without metadata
  // that has this file counts as one that never voted.
  RemoveFile(initial);
  SyncDirectory(directory_);
  return true;
}

void log_store::RemoveTemporaryFiles() const {
  // Left by a process that ended while it wrote one. They would take up space,
  // which may be what the writing failed for.
  for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
    if (entry.path().filename().string().ends_with(kTemporarySuffix)) {
      RemoveFile(entry.path());
    }
  }
}

void log_store::Load() {
  const numbered_files snapshots = FindFiles(directory_, kSnapshotPrefix);
  const numbered_files segments = FindFiles(directory_, kSegmentPrefix);
  const std::filesystem::path metadata = directory_ / kMetadataName;
  if (!std::filesystem::exists(metadata)) {
    if (!snapshots.empty() || !segments.empty()) {
      throw damaged_storage(
          metadata.string() +
          " is missing, so it isn't known how this replica voted. If the "
          "other replicas are in order, empty the directory and start it "
          "again.");
    }
    return;
  }
  content_.metadata = ParseMetadata(metadata, ReadFile(metadata));
  empty_ = false;
  ReadSnapshot(snapshots);
  ReadSegments(segments);
  SyncContent();
}

// The process before this one may have ended between a write, or a rename, and
// its sync. What was read then counts as synced, so it has to be.
void log_store::SyncContent() {
  tail_.Sync();
  SyncDirectory(directory_);
}

raft::stored_state log_store::TakeContent() {
  return std::exchange(content_, {});
}

void log_store::Write(const raft::persist& batch) {
  if (batch.metadata) {
    ReplaceFile(directory_ / kMetadataName, EncodeMetadata(*batch.metadata));
  }
  if (batch.new_snapshot) {
    WriteSnapshot(*batch.new_snapshot);
  }
  if (batch.reset_log_to != 0) {
    ResetTo(batch.reset_log_to);
  }
  if (batch.truncate_from != 0) {
    TruncateFrom(batch.truncate_from);
  }
  for (const wire::log_entry& entry : batch.entries) {
    Append(entry);
  }
  if (batch.compact_before != 0) {
    CompactBefore(batch.compact_before);
  }
}

void log_store::Sync() {
  if (synced_index_ == last_index_) {
    return;
  }
  FlushBuffer();
  tail_.Sync();
  synced_index_ = last_index_;
  // Lets the next start distinguish damage to synced entries from a torn tail.
  // The mark itself isn't synced.
  segment& tail = segments_.back();
  std::string mark;
  AppendSyncMark(synced_index_, {tail.first_index, tail.bytes}, mark);
  tail_.WriteAt(mark, tail.bytes);
  tail.bytes += mark.size();
}

std::filesystem::path log_store::SnapshotPath(std::uint64_t index) const {
  return directory_ / NumberedName(kSnapshotPrefix, index);
}

std::filesystem::path log_store::SegmentPath(std::uint64_t first_index) const {
  return directory_ / NumberedName(kSegmentPrefix, first_index);
}

void log_store::ReadSnapshot(const numbered_files& found) {
  if (found.empty()) {
    return;
  }
  const auto& [index, path] = *found.rbegin();
  content_.latest_snapshot = ParseSnapshot(path, ReadFile(path));
  if (content_.latest_snapshot->last_index != index) {
    throw damaged_storage(
        path.string() +
        " holds a snapshot of another index than its name says");
  }
  snapshot_index_ = index;
  // Older snapshots remain after a crash between writing the new one and
  // removing them.
  for (auto older = found.begin(); older != std::prev(found.end()); ++older) {
    RemoveFile(older->second);
  }
}

void log_store::ReadSegments(const numbered_files& found) {
  for (const auto& [first_index, path] : found) {
    const bool is_last = first_index == found.rbegin()->first;
    // The header is synced before the first record is written, so a segment
    // with an incomplete header has no records.
    if (is_last && std::filesystem::file_size(path) <= kSegmentHeaderBytes &&
        ReadFile(path) != EncodeSegmentHeader(first_index)) {
      RemoveFile(path);
      // If the file came back after a power loss, it wouldn't be the last one.
      SyncDirectory(directory_);
      break;
    }
    if (!segments_.empty() && first_index != last_index_ + 1) {
      throw damaged_storage("the segment with entry " +
                            std::to_string(last_index_ + 1) +
                            " is missing before " + path.string());
    }
    ReadSegment(first_index, path, is_last);
  }
  if (!segments_.empty() &&
      segments_.front().first_index > snapshot_index_ + 1) {
    throw damaged_storage("entries " + std::to_string(snapshot_index_ + 1) +
                          " to " +
                          std::to_string(segments_.front().first_index - 1) +
                          " are neither in a snapshot nor in a segment of " +
                          directory_.string());
  }
  if (segments_.empty() || !LogMatchesSnapshot()) {
    // The process crashed after writing a received snapshot and before removing
    // the log that the snapshot replaces.
    content_.entries.clear();
    ResetTo(snapshot_index_ + 1);
  } else {
    OpenTail();
  }
  synced_index_ = last_index_;
}

void log_store::ReadSegment(std::uint64_t first_index,
                            const std::filesystem::path& path,
                            bool is_last) {
  const std::string bytes = ReadFile(path);
  segment_content parsed = ParseSegment(path, bytes, first_index, is_last);
  if (parsed.valid_bytes < bytes.size()) {
    file torn(path, O_WRONLY);
    torn.Truncate(parsed.valid_bytes);
    torn.Sync();
  }
  last_index_ = first_index + parsed.entries.size() - 1;
  segments_.push_back({.first_index = first_index,
                       .path = path,
                       .offsets = std::move(parsed.offsets),
                       .bytes = parsed.valid_bytes});
  std::move(parsed.entries.begin(), parsed.entries.end(),
            std::back_inserter(content_.entries));
}

bool log_store::LogMatchesSnapshot() const {
  if (!content_.latest_snapshot ||
      segments_.front().first_index == snapshot_index_ + 1) {
    return true;
  }
  if (last_index_ < snapshot_index_) {
    return false;
  }
  const std::size_t at = snapshot_index_ - segments_.front().first_index;
  return content_.entries[at].term == content_.latest_snapshot->last_term;
}

void log_store::WriteSnapshot(const raft::snapshot& content) {
  ReplaceFile(SnapshotPath(content.last_index), EncodeSnapshot(content));
  if (snapshot_index_ != 0 && snapshot_index_ != content.last_index) {
    RemoveFile(SnapshotPath(snapshot_index_));
  }
  snapshot_index_ = content.last_index;
}

void log_store::StartSegment(std::uint64_t first_index) {
  segments_.push_back({.first_index = first_index,
                       .path = SegmentPath(first_index),
                       .bytes = kSegmentHeaderBytes});
  tail_ = file(segments_.back().path, O_WRONLY | O_CREAT | O_TRUNC);
  tail_.WriteAt(EncodeSegmentHeader(first_index), 0);
  tail_.Sync();
  SyncDirectory(directory_);
  last_index_ = first_index - 1;
  synced_index_ = last_index_;
}

void log_store::OpenTail() {
  tail_ = file(segments_.back().path, O_WRONLY);
}

void log_store::Append(const wire::log_entry& entry) {
  if (entry.index != last_index_ + 1) {
    throw std::logic_error("entry " + std::to_string(entry.index) +
                           " doesn't follow entry " +
                           std::to_string(last_index_));
  }
  if (segments_.back().bytes >= options_.segment_bytes) {
    FlushBuffer();
    tail_.Sync();
    StartSegment(entry.index);
  }
  segment& tail = segments_.back();
  tail.offsets.push_back(static_cast<std::uint32_t>(tail.bytes));
  const std::size_t before = buffer_.size();
  AppendRecord(entry, synced_index_, {tail.first_index, tail.bytes}, buffer_);
  tail.bytes += buffer_.size() - before;
  last_index_ = entry.index;
  if (buffer_.size() >= kBufferBytes) {
    FlushBuffer();
  }
}

void log_store::FlushBuffer() {
  tail_.WriteAt(buffer_, segments_.back().bytes - buffer_.size());
  buffer_.clear();
}

void log_store::RemoveLastSegment() {
  tail_.Close();
  RemoveFile(segments_.back().path);
  segments_.pop_back();
  SyncDirectory(directory_);
}

void log_store::ResetTo(std::uint64_t next_index) {
  buffer_.clear();
  // Removes from the end, because a crash must not leave a log with gaps.
  while (!segments_.empty()) {
    RemoveLastSegment();
  }
  StartSegment(next_index);
}

void log_store::TruncateFrom(std::uint64_t index) {
  if (index > last_index_) {
    return;
  }
  FlushBuffer();
  while (segments_.size() > 1 && segments_.back().first_index >= index) {
    RemoveLastSegment();
  }
  segment& tail = segments_.back();
  if (index < tail.first_index) {
    throw std::logic_error("entry " + std::to_string(index) +
                           " is no longer in the log");
  }
  OpenTail();
  const std::size_t kept = index - tail.first_index;
  if (kept < tail.offsets.size()) {
    tail.bytes = tail.offsets[kept];
    tail.offsets.resize(kept);
    tail_.Truncate(tail.bytes);
  }
  // The remaining entries may not have been synced yet.
  tail_.Sync();
  last_index_ = index - 1;
  synced_index_ = last_index_;
}

void log_store::CompactBefore(std::uint64_t index) {
  // Removes only entries that the snapshot covers.
  const std::uint64_t limit = std::min(index, snapshot_index_ + 1);
  while (segments_.size() > 1 && segments_[1].first_index <= limit) {
    RemoveFile(segments_.front().path);
    SyncDirectory(directory_);
    segments_.pop_front();
  }
}

}  // namespace wisteriaroute::storage
