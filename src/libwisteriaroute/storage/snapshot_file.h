#ifndef LIBWISTERIAROUTE_STORAGE_SNAPSHOT_FILE_H_
#define LIBWISTERIAROUTE_STORAGE_SNAPSHOT_FILE_H_

#include <filesystem>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/raft/log.h"

namespace wisteriaroute::storage {

// Encoding of the files that are replaced as a whole. The parse functions throw
// damaged_storage with `path` in the message.

std::string EncodeMetadata(const raft::hard_state& metadata);
raft::hard_state ParseMetadata(const std::filesystem::path& path,
                               std::string_view bytes);

std::string EncodeSnapshot(const raft::snapshot& content);
raft::snapshot ParseSnapshot(const std::filesystem::path& path,
                             std::string_view bytes);

/** Names and contents of the files of a new data directory. */
using initial_files = std::vector<std::pair<std::string, std::string>>;

std::string EncodeInitialFiles(const initial_files& files);
initial_files ParseInitialFiles(const std::filesystem::path& path,
                                std::string_view bytes);

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_SNAPSHOT_FILE_H_
