#include "libwisteriaroute/storage/file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace wisteriaroute::storage {

namespace {

[[noreturn]] void ThrowErrno(const char* operation, const std::string& path) {
  throw std::system_error(errno, std::generic_category(),
                          std::string("can't ") + operation + " " + path);
}

change_observer& Observer() {
  static change_observer observer;
  return observer;
}

void Announce(file_change change, const std::filesystem::path& path) {
  if (const change_observer& observer = Observer()) {
    observer(change, path);
  }
}

}  // namespace

void SetChangeObserver(change_observer observer) {
  Observer() = std::move(observer);
}

file::file(const std::filesystem::path& path, int flags) : path_(path) {
  if ((flags & O_CREAT) != 0) {
    Announce(file_change::kCreate, path);
  }
  descriptor_ = open(path_.c_str(), flags | O_CLOEXEC, 0600);
  if (descriptor_ < 0) {
    ThrowErrno("open", path_);
  }
}

file::~file() {
  Close();
}

file::file(file&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      path_(std::move(other.path_)) {}

file& file::operator=(file&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    path_ = std::move(other.path_);
  }
  return *this;
}

void file::Close() {
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
}

void file::WriteAt(std::string_view data, std::uint64_t offset) {
  Announce(file_change::kWrite, path_);
  while (!data.empty()) {
    const ssize_t written = pwrite(descriptor_, data.data(), data.size(),
                                   static_cast<off_t>(offset));
    if (written < 0 && errno != EINTR) {
      ThrowErrno("write", path_);
    }
    if (written > 0) {
      data.remove_prefix(static_cast<std::size_t>(written));
      offset += static_cast<std::uint64_t>(written);
    }
  }
}

void file::Truncate(std::uint64_t size) {
  Announce(file_change::kTruncate, path_);
  if (ftruncate(descriptor_, static_cast<off_t>(size)) != 0) {
    ThrowErrno("truncate", path_);
  }
}

void file::Sync() {
  Announce(file_change::kSync, path_);
  if (fdatasync(descriptor_) != 0) {
    ThrowErrno("sync", path_);
  }
}

bool file::TryLock() {
  if (flock(descriptor_, LOCK_EX | LOCK_NB) == 0) {
    return true;
  }
  if (errno != EWOULDBLOCK) {
    ThrowErrno("lock", path_);
  }
  return false;
}

std::string ReadFile(const std::filesystem::path& path) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    ThrowErrno("open", path);
  }
  std::string content;
  std::string buffer(1 << 16, '\0');
  for (;;) {
    const ssize_t count = read(descriptor, buffer.data(), buffer.size());
    if (count < 0 && errno != EINTR) {
      close(descriptor);
      ThrowErrno("read", path);
    }
    if (count == 0) {
      close(descriptor);
      return content;
    }
    if (count > 0) {
      content.append(buffer, 0, static_cast<std::size_t>(count));
    }
  }
}

void WriteNewFile(const std::filesystem::path& path, std::string_view content) {
  file output(path, O_WRONLY | O_CREAT | O_TRUNC);
  output.WriteAt(content, 0);
  output.Sync();
}

void RemoveFile(const std::filesystem::path& path) {
  Announce(file_change::kRemove, path);
  if (unlink(path.c_str()) != 0) {
    ThrowErrno("remove", path);
  }
}

void SyncDirectory(const std::filesystem::path& path) {
  file(path, O_RDONLY | O_DIRECTORY).Sync();
}

void CreateDirectories(const std::filesystem::path& path) {
  if (path.empty() || std::filesystem::is_directory(path)) {
    return;
  }
  const std::filesystem::path parent = path.parent_path();
  CreateDirectories(parent);
  std::filesystem::create_directory(path);
  SyncDirectory(parent.empty() ? "." : parent);
}

void ReplaceFile(const std::filesystem::path& path, std::string_view content) {
  std::filesystem::path temporary = path;
  temporary += kTemporarySuffix;
  WriteNewFile(temporary, content);
  Announce(file_change::kRename, path);
  if (rename(temporary.c_str(), path.c_str()) != 0) {
    ThrowErrno("rename", temporary);
  }
  SyncDirectory(path.parent_path());
}

}  // namespace wisteriaroute::storage
