#ifndef LIBWISTERIAROUTE_STORAGE_LOG_WRITER_H_
#define LIBWISTERIAROUTE_STORAGE_LOG_WRITER_H_

#include <ev.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/log_store.h"

namespace wisteriaroute::storage {

struct log_writer_callbacks {
  /** All batches up to `sequence` are synced. */
  std::function<void(std::uint64_t sequence)> on_persisted;
  /** A write or sync failed. The writer tries again until it succeeds. */
  std::function<void(const std::string& reason)> on_disk_failed;
  /** Everything that was submitted before can be written again. */
  std::function<void()> on_disk_recovered;
  /** The directory is damaged, or a batch doesn't fit the log. Nothing more is
   * written; the process must exit. */
  std::function<void(const std::string& reason)> on_failed;
};

/**
 * Writes and syncs on its own thread, because fsync blocks. Batches that are
 * queued during a sync share the next sync. After an I/O error, as of a full
 * disk, it reads the directory again and writes all batches that aren't synced
 * anew: after a failed sync the kernel may have dropped the dirty pages, so a
 * later sync alone may succeed without writing them.
 */
class log_writer {
 public:
  /** Callbacks run on the loop. Only the writer thread uses the store. */
  log_writer(struct ev_loop* loop,
             log_store& store,
             log_writer_callbacks callbacks);
  /** Writes and syncs the queued batches. Calls no callbacks. */
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  /** Queues a batch; doesn't block on I/O. */
  void Submit(raft::persist batch);

  /** Number of syncs so far, for metrics. */
  std::uint64_t sync_count() const;

 private:
  void Run();
  void Report();
  void WriteAll(const std::vector<raft::persist>& batches);
  /** Writes the batches after an I/O error. Returns false when stopping. */
  bool RetryUntilWritten(std::vector<raft::persist>& batches);
  void ReportDiskFailure(const std::string& reason);

  struct ev_loop* loop_;
  log_store& store_;
  log_writer_callbacks callbacks_;
  ev_async wake_loop_;

  mutable std::mutex mutex_;
  std::condition_variable wake_thread_;
  std::vector<raft::persist> queue_;
  bool stopping_ = false;
  std::uint64_t synced_sequence_ = 0;
  std::uint64_t reported_sequence_ = 0;
  std::uint64_t sync_count_ = 0;
  std::string failure_;
  /** Empty while the disk takes data. */
  std::string disk_failure_;
  bool reported_disk_failure_ = false;
  std::thread thread_;
};

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_LOG_WRITER_H_
