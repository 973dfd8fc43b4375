#ifndef LIBWISTERIAROUTE_STORAGE_FILE_H_
#define LIBWISTERIAROUTE_STORAGE_FILE_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>

namespace wisteriaroute::storage {

/** An owned file descriptor. Errors throw std::system_error. */
class file {
 public:
  file() = default;
  /** Opens with open(2)'s flags; files are created with mode 0600. */
  file(const std::filesystem::path& path, int flags);
  ~file();
  file(file&& other) noexcept;
  file& operator=(file&& other) noexcept;

  bool is_open() const { return descriptor_ >= 0; }
  void Close();

  /** Writes all of `data` at `offset`. */
  void WriteAt(std::string_view data, std::uint64_t offset);
  void Truncate(std::uint64_t size);
  /** fdatasync(2). */
  void Sync();
  /** Takes an exclusive lock; returns false if another process holds it. */
  bool TryLock();

 private:
  int descriptor_ = -1;
  std::string path_;
};

std::string ReadFile(const std::filesystem::path& path);

/** Creates a file with this content and syncs it. Overwrites an older one. */
void WriteNewFile(const std::filesystem::path& path, std::string_view content);

/** The removal survives a power loss once the directory is synced. */
void RemoveFile(const std::filesystem::path& path);

void SyncDirectory(const std::filesystem::path& path);

/** Creates the directory and its parents; on return they survive a power loss.
 */
void CreateDirectories(const std::filesystem::path& path);

/**
 * Replaces `path` atomically: after a power loss it has either the old or the
 * new content. Writes and syncs a temporary file, renames it and syncs the
 * directory.
 */
void ReplaceFile(const std::filesystem::path& path, std::string_view content);

/** Suffix of the temporary files of ReplaceFile. */
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/** A change of the file system. */
enum class file_change : std::uint8_t {
  kCreate,
  kWrite,
  kTruncate,
  kSync,
  kRename,
  kRemove
};

using change_observer =
    std::function<void(file_change change, const std::filesystem::path& path)>;

/**
 * For tests: calls `observer` before each change that this process makes with
 * the functions above. An exception that it throws cuts the sequence of changes
 * there. Null: none.
 */
void SetChangeObserver(change_observer observer);

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_FILE_H_
