#ifndef LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_
#define LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/file.h"

namespace wisteriaroute::storage {

/** Content that was synced is damaged or missing; don't start. */
class damaged_storage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct store_options {
  /** A segment that has grown to this is closed and the next one begun. */
  std::uint64_t segment_bytes = 16 << 20;
};

/** The data directory of a replica. Not safe for concurrent use. */
class log_store {
 public:
  /**
   * Opens or creates the directory and locks it. Removes an incomplete tail
   * that was never synced. Throws damaged_storage for other damage and
   * std::system_error for I/O errors.
   */
  explicit log_store(std::filesystem::path directory,
                     const store_options& options = {});
  ~log_store();
  log_store(const log_store&) = delete;
  log_store& operator=(const log_store&) = delete;

  /** Nothing has been stored; call Initialize. */
  bool empty() const { return !metadata_; }

  /** Writes and syncs the first content. Throws if the store isn't empty. */
  void Initialize(const raft::stored_state& content);

  /** What was found on opening. Call once, before the first Write. */
  raft::stored_state TakeContent();

  /**
   * Writes a batch. Metadata, snapshots and truncations are synced at once,
   * entries by the next Sync.
   */
  void Write(const raft::persist& batch);

  /** On return all that was written survives a loss of power. */
  void Sync();

  std::uint64_t last_index() const { return last_index_; }

 private:
  struct segment {
    std::uint64_t first_index = 0;
    std::filesystem::path path;
    /** Offset of each record; index first_index + i. */
    std::vector<std::uint32_t> offsets;
  };

  void ReadMetadata();
  void ReadSnapshot();
  void ReadSegments();
  void ReadSegment(segment& target, bool last);
  void DiscardStaleLog();
  void WriteMetadata(const raft::hard_state& metadata);
  void WriteSnapshot(const raft::snapshot& content);
  void StartSegment(std::uint64_t first_index);
  void Append(const wire::log_entry& entry);
  void ResetTo(std::uint64_t next_index);
  void TruncateFrom(std::uint64_t index);
  void CompactBefore(std::uint64_t index);
  void FlushBuffer();
  void WriteSyncMark();

  std::filesystem::path directory_;
  store_options options_;
  file lock_;
  file directory_file_;
  std::deque<segment> segments_;
  /** The last segment, open for writing, and its size with the buffer. */
  file tail_;
  std::uint64_t tail_bytes_ = 0;
  std::string buffer_;
  bool unsynced_ = false;
  std::uint64_t last_index_ = 0;
  std::uint64_t snapshot_index_ = 0;
  std::optional<raft::hard_state> metadata_;
  raft::stored_state content_;
};

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_LOG_STORE_H_
