#include "libwisteriaroute/storage/log_writer.h"

#include <chrono>
#include <exception>
#include <iterator>
#include <system_error>
#include <utility>

namespace wisteriaroute::storage {

namespace {

constexpr std::chrono::milliseconds kRetryPeriod(200);

}  // namespace

log_writer::log_writer(struct ev_loop* loop,
                       log_store& store,
                       log_writer_callbacks callbacks)
    : loop_(loop), store_(store), callbacks_(std::move(callbacks)) {
  ev_async_init(&wake_loop_, [](struct ev_loop*, ev_async* watcher, int) {
    static_cast<log_writer*>(watcher->data)->Report();
  });
  wake_loop_.data = this;
  ev_async_start(loop_, &wake_loop_);
  thread_ = std::thread([this] { Run(); });
}

log_writer::~log_writer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_thread_.notify_one();
  thread_.join();
  ev_async_stop(loop_, &wake_loop_);
}

void log_writer::Submit(raft::persist batch) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(batch));
  }
  wake_thread_.notify_one();
}

std::uint64_t log_writer::sync_count() const {
  const std::lock_guard lock(mutex_);
  return sync_count_;
}

void log_writer::Run() {
  for (;;) {
    std::vector<raft::persist> batches;
    {
      std::unique_lock lock(mutex_);
      wake_thread_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      batches.swap(queue_);
    }
    std::string failure;
    try {
      WriteAll(batches);
    } catch (const std::exception& exception) {
      failure = exception.what();
      if (dynamic_cast<const std::system_error*>(&exception) != nullptr) {
        ReportDiskFailure(failure);
      }
    }
    if (!disk_failure_.empty()) {
      try {
        if (!RetryUntilWritten(batches)) {
          return;
        }
        failure.clear();
      } catch (const std::exception& exception) {
        failure = exception.what();
      }
    }
    {
      const std::lock_guard lock(mutex_);
      ++sync_count_;
      failure_ = failure;
      if (failure.empty()) {
        disk_failure_.clear();
        synced_sequence_ = batches.back().sequence;
      }
    }
    ev_async_send(loop_, &wake_loop_);
    if (!failure.empty()) {
      return;
    }
  }
}

void log_writer::WriteAll(const std::vector<raft::persist>& batches) {
  for (const raft::persist& batch : batches) {
    store_.Write(batch);
  }
  store_.Sync();
}

bool log_writer::RetryUntilWritten(std::vector<raft::persist>& batches) {
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      if (wake_thread_.wait_for(lock, kRetryPeriod,
                                [&] { return stopping_; })) {
        return false;
      }
      std::move(queue_.begin(), queue_.end(), std::back_inserter(batches));
      queue_.clear();
    }
    try {
      // Cheaper than reading the directory.
      store_.ProbeDisk();
      store_.Reopen();
      store_.TakeContent();
      for (const raft::persist& batch : batches) {
        store_.WriteAgain(batch);
      }
      store_.Sync();
      return true;
    } catch (const std::system_error& error) {
      ReportDiskFailure(error.what());
    }
  }
}

void log_writer::ReportDiskFailure(const std::string& reason) {
  {
    const std::lock_guard lock(mutex_);
    disk_failure_ = reason;
  }
  ev_async_send(loop_, &wake_loop_);
}

void log_writer::Report() {
  std::string failure;
  std::string disk_failure;
  std::uint64_t sequence = 0;
  {
    const std::lock_guard lock(mutex_);
    failure = std::exchange(failure_, {});
    disk_failure = disk_failure_;
    sequence = synced_sequence_;
  }
  if (disk_failure.empty() == reported_disk_failure_) {
    reported_disk_failure_ = !disk_failure.empty();
    if (reported_disk_failure_) {
      callbacks_.on_disk_failed(disk_failure);
    } else {
      callbacks_.on_disk_recovered();
    }
  }
  if (sequence > reported_sequence_) {
    reported_sequence_ = sequence;
    callbacks_.on_persisted(sequence);
  }
  if (!failure.empty()) {
    callbacks_.on_failed(failure);
  }
}

}  // namespace wisteriaroute::storage
