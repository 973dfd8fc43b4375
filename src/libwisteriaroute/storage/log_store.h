#ifndef LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_
#define LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/file.h"
#include "libwisteriaroute/storage/record.h"

namespace wisteriaroute::storage {

struct store_options {
  /**
   * Size at which a segment is closed and the next one started. Compaction
   * removes only whole segments, and a start reads all remaining ones.
   */
  std::uint64_t segment_bytes = 4 << 20;
};

/** The data directory of a replica. Not safe for concurrent use. */
class log_store {
 public:
  /**
   * Opens or creates the directory and locks it. Removes a torn tail, that is,
   * records that were never synced, and completes an initialization that was
   * cut short. Throws damaged_storage for any other damage and
   * std::runtime_error for I/O errors and a directory that is in use.
   */
  explicit log_store(std::filesystem::path directory,
                     const store_options& options = {});
  log_store(const log_store&) = delete;
  log_store& operator=(const log_store&) = delete;

  /** Whether the directory has no content yet and needs Initialize. */
  bool empty() const { return empty_; }

  /** Whether opening has completed an initialization that was cut short. */
  bool completed_initialization() const { return completed_initialization_; }

  /**
   * Writes and syncs the initial content. If it is cut short, the directory is
   * still empty, or the next opening completes it. Throws if the store isn't
   * empty.
   */
  void Initialize(const raft::stored_state& content);

  /** Returns the content read on opening. Call once, before the first Write. */
  raft::stored_state TakeContent();

  /**
   * Writes a batch. Metadata, snapshots and truncations are synced on return,
   * entries by the next Sync.
   */
  void Write(const raft::persist& batch);

  /** Syncs all written entries: on return they survive a power loss. */
  void Sync();

  /**
   * Reads the directory again, as opening does, after Write, Sync or Initialize
   * has thrown std::system_error. What was written since the last Sync may be
   * missing; all of it has to be written again.
   */
  void Reopen();

  /** As Write, of a batch of which entries may be in the store already. */
  void WriteAgain(raft::persist batch);

  /** Throws if the disk takes no data; may leave a temporary file then. */
  void ProbeDisk() const;

  std::uint64_t last_index() const { return last_index_; }

 private:
  struct segment {
    std::uint64_t first_index = 0;
    std::filesystem::path path;
    /** Offsets of the entries' records, from first_index on. */
    std::vector<std::uint32_t> offsets;
    /** Size of the file, including the data still in the buffer. */
    std::uint64_t bytes = 0;
  };

  std::filesystem::path SnapshotPath(std::uint64_t index) const;
  std::filesystem::path SegmentPath(std::uint64_t first_index) const;

  /** Returns whether there was an initialization to complete. */
  bool CompleteInitialization();
  void RemoveTemporaryFiles() const;
  void Load();
  void SyncContent();
  void ReadSnapshot(
      const std::map<std::uint64_t, std::filesystem::path>& found);
  void ReadSegments(
      const std::map<std::uint64_t, std::filesystem::path>& found);
  void ReadSegment(std::uint64_t first_index,
                   const std::filesystem::path& path,
                   bool is_last);
  bool LogMatchesSnapshot() const;

  void WriteSnapshot(const raft::snapshot& content);
  void StartSegment(std::uint64_t first_index);
  void OpenTail();
  void RemoveLastSegment();
  void Append(const wire::log_entry& entry);
  void ResetTo(std::uint64_t next_index);
  void TruncateFrom(std::uint64_t index);
  void CompactBefore(std::uint64_t index);
  void FlushBuffer();

  std::filesystem::path directory_;
  store_options options_;
  file lock_;
  std::deque<segment> segments_;
  /** The last segment, open for writing. */
  file tail_;
  std::string buffer_;
  std::uint64_t last_index_ = 0;
  std::uint64_t synced_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  bool empty_ = true;
  bool completed_initialization_ = false;
  raft::stored_state content_;
};

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_
