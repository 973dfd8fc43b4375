#include "libwisteriaroute/storage/record.h"

#include <optional>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/storage/bytes.h"

namespace wisteriaroute::storage {

namespace {

constexpr std::string_view kSegmentMagic = "WRLOGS01";
/** Kind of a sync mark; entries use the values of wire::entry_kind. */
constexpr std::uint8_t kSyncMarkKind = 3;

struct parsed_record {
  std::uint8_t kind = 0;
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  std::uint64_t synced_index = 0;
  std::string_view payload;
};

/** Offsets in a record's header. */
constexpr std::uint64_t kKindOffset = 4;
constexpr std::uint64_t kChecksumOffset = 8;
constexpr std::uint64_t kTermOffset = 16;
constexpr std::uint64_t kIndexOffset = 24;
constexpr std::uint64_t kSyncedOffset = 32;

std::uint64_t Checksum(std::string_view header,
                       std::string_view payload,
                       const record_position& position) {
  const std::uint64_t seed =
      position.segment_first_index * 0x9e3779b97f4a7c15 + position.offset;
  const std::uint64_t front =
      base::Hash64(header.substr(0, kChecksumOffset), seed);
  return base::Hash64(payload, base::Hash64(header.substr(kTermOffset), front));
}

void EncodeRecord(const parsed_record& record,
                  const record_position& position,
                  std::string& out) {
  std::string header;
  AppendNumber(static_cast<std::uint32_t>(record.payload.size()), header);
  AppendNumber(static_cast<std::uint32_t>(record.kind), header);
  AppendNumber(std::uint64_t{0}, header);
  AppendNumber(record.term, header);
  AppendNumber(record.index, header);
  AppendNumber(record.synced_index, header);
  const std::uint64_t checksum = Checksum(header, record.payload, position);
  std::memcpy(header.data() + kChecksumOffset, &checksum, sizeof checksum);
  out += header;
  out += record.payload;
}

/** Returns nullopt if no complete record with a valid checksum is there. */
std::optional<parsed_record> ParseRecord(std::string_view bytes,
                                         const record_position& position) {
  const std::uint64_t available = bytes.size() - position.offset;
  if (available < kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view header =
      bytes.substr(position.offset, kRecordHeaderBytes);
  const auto length = NumberAt<std::uint32_t>(header, 0);
  const auto kind = NumberAt<std::uint32_t>(header, kKindOffset);
  if (kind > kSyncMarkKind || length > available - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload =
      bytes.substr(position.offset + kRecordHeaderBytes, length);
  if (NumberAt<std::uint64_t>(header, kChecksumOffset) !=
      Checksum(header, payload, position)) {
    return std::nullopt;
  }
  return parsed_record{
      .kind = static_cast<std::uint8_t>(kind),
      .term = NumberAt<std::uint64_t>(header, kTermOffset),
      .index = NumberAt<std::uint64_t>(header, kIndexOffset),
      .synced_index = NumberAt<std::uint64_t>(header, kSyncedOffset),
      .payload = payload};
}

/**
 * Whether a valid record after `position` shows that entry `index` was synced.
 * Tries every offset, because the length of the damaged record is unreliable.
 */
bool IsKnownSynced(std::string_view bytes,
                   record_position position,
                   std::uint64_t index) {
  while (++position.offset + kRecordHeaderBytes <= bytes.size()) {
    // Skips the checksum if the synced index alone rules out the record.
    if (NumberAt<std::uint64_t>(bytes, position.offset + kSyncedOffset) <
        index) {
      continue;
    }
    const auto record = ParseRecord(bytes, position);
    if (record && record->synced_index >= index) {
      return true;
    }
  }
  return false;
}

[[noreturn]] void ThrowDamaged(const std::filesystem::path& path,
                               std::uint64_t offset,
                               const std::string& what) {
  throw damaged_storage(
      path.string() + " is damaged at byte " + std::to_string(offset) + ": " +
      what +
      ". This replica must not start with this data directory; if the other "
      "replicas are in order, empty the directory and start it again without "
      "--bootstrap.");
}

bool IsHeaderValid(std::string_view bytes, std::uint64_t first_index) {
  return bytes.substr(0, kSegmentHeaderBytes) ==
         EncodeSegmentHeader(first_index);
}

}  // namespace

std::string EncodeSegmentHeader(std::uint64_t first_index) {
  std::string header(kSegmentMagic);
  AppendNumber(std::uint64_t{0}, header);
  AppendNumber(first_index, header);
  AppendNumber(base::Hash64(header), header);
  return header;
}

void AppendRecord(const wire::log_entry& entry,
                  std::uint64_t synced_index,
                  const record_position& position,
                  std::string& out) {
  EncodeRecord({.kind = static_cast<std::uint8_t>(entry.kind),
                .term = entry.term,
                .index = entry.index,
                .synced_index = synced_index,
                .payload = entry.payload},
               position, out);
}

void AppendSyncMark(std::uint64_t synced_index,
                    const record_position& position,
                    std::string& out) {
  EncodeRecord({.kind = kSyncMarkKind, .synced_index = synced_index}, position,
               out);
}

segment_content ParseSegment(const std::filesystem::path& path,
                             std::string_view bytes,
                             std::uint64_t first_index,
                             bool is_last) {
  if (!IsHeaderValid(bytes, first_index)) {
    ThrowDamaged(path, 0,
                 "the segment header is invalid or belongs to another segment");
  }
  segment_content result;
  record_position position{.segment_first_index = first_index,
                           .offset = kSegmentHeaderBytes};
  std::uint64_t next_index = first_index;
  while (position.offset < bytes.size()) {
    const auto record = ParseRecord(bytes, position);
    if (!record) {
      if (!is_last) {
        ThrowDamaged(path, position.offset,
                     "a record of a finished segment is incomplete or has a "
                     "bad checksum");
      }
      if (IsKnownSynced(bytes, position, next_index)) {
        ThrowDamaged(path, position.offset,
                     "the record of entry " + std::to_string(next_index) +
                         " has a bad checksum, although it was synced");
      }
      break;
    }
    if (record->kind != kSyncMarkKind) {
      if (record->index != next_index) {
        ThrowDamaged(path, position.offset,
                     "entry " + std::to_string(record->index) +
                         " is stored in the place of entry " +
                         std::to_string(next_index));
      }
      ++next_index;
      result.offsets.push_back(static_cast<std::uint32_t>(position.offset));
      result.entries.push_back(
          {.term = record->term,
           .index = record->index,
           .kind = static_cast<wire::entry_kind>(record->kind),
           .payload = std::string(record->payload)});
    }
    position.offset += kRecordHeaderBytes + record->payload.size();
  }
  result.valid_bytes = position.offset;
  return result;
}

}  // namespace wisteriaroute::storage
