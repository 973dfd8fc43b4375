#include "libwisteriaroute/storage/log_writer.h"

#include <exception>
#include <utility>

namespace wisteriaroute::storage {

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
      for (const raft::persist& batch : batches) {
        store_.Write(batch);
      }
      store_.Sync();
    } catch (const std::exception& exception) {
      failure = exception.what();
    }
    {
      const std::lock_guard lock(mutex_);
      ++sync_count_;
      failure_ = failure;
      if (failure.empty()) {
        synced_sequence_ = batches.back().sequence;
      }
    }
    ev_async_send(loop_, &wake_loop_);
    // Not retried: after a failed sync the kernel may have dropped the dirty
    // pages, so a later sync may succeed without writing them.
    if (!failure.empty()) {
      return;
    }
  }
}

void log_writer::Report() {
  std::string failure;
  std::uint64_t sequence = 0;
  {
    const std::lock_guard lock(mutex_);
    failure = std::exchange(failure_, {});
    sequence = synced_sequence_;
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
