#ifndef LIBWISTERIAROUTE_STORAGE_RECORD_H_
#define LIBWISTERIAROUTE_STORAGE_RECORD_H_

#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::storage {

/** Synced content is damaged or missing. The replica must not start. */
class damaged_storage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A segment is a header followed by records:
//   length of the payload (4 bytes), kind (1), zero (3), checksum (8),
//   term (8), index (8), synced index (8), payload
// Numbers are little-endian. The checksum is XXH3-64 of the other fields,
// seeded with the segment's first index and the record's offset. The synced
// index is the last entry that was synced when the record was written. A
// damaged record isn't a torn tail if a later record shows that it was synced.
// After each sync a sync mark is written: a record without an entry that
// carries the synced index.

inline constexpr std::uint64_t kSegmentHeaderBytes = 32;
inline constexpr std::uint64_t kRecordHeaderBytes = 40;

/** Position of a record; seeds its checksum. */
struct record_position {
  std::uint64_t segment_first_index = 0;
  std::uint64_t offset = 0;
};

std::string EncodeSegmentHeader(std::uint64_t first_index);

void AppendRecord(const wire::log_entry& entry,
                  std::uint64_t synced_index,
                  const record_position& position,
                  std::string& out);
void AppendSyncMark(std::uint64_t synced_index,
                    const record_position& position,
                    std::string& out);

/** Content of a segment file. */
struct segment_content {
  std::vector<wire::log_entry> entries;
  /** Offset of each entry's record. */
  std::vector<std::uint32_t> offsets;
  /** Size of the file without a torn tail. */
  std::uint64_t valid_bytes = 0;
};

/**
 * Parses the bytes of the segment file `path`, which begins with the entry
 * `first_index`. A torn tail is allowed in the last segment only. Throws
 * damaged_storage.
 */
segment_content ParseSegment(const std::filesystem::path& path,
                             std::string_view bytes,
                             std::uint64_t first_index,
                             bool is_last);

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_RECORD_H_
