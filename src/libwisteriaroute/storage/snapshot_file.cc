#include "libwisteriaroute/storage/snapshot_file.h"

#include <memory>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/storage/bytes.h"
#include "libwisteriaroute/storage/record.h"

namespace wisteriaroute::storage {

namespace {

constexpr std::string_view kMetadataMagic = "WRMETA01";
constexpr std::string_view kSnapshotMagic = "WRSNAP01";
constexpr std::string_view kInitialMagic = "WRINIT01";
constexpr std::uint64_t kMagicBytes = 8;

/** Returns the magic, the XXH3-64 of the body, and the body. */
std::string AddChecksum(std::string_view magic, std::string_view body) {
  std::string file(magic);
  AppendNumber(base::Hash64(body), file);
  file += body;
  return file;
}

/**
 * Checks the magic and the checksum and returns the body. Throws
 * damaged_storage.
 */
std::string_view VerifyChecksum(const std::filesystem::path& path,
                                std::string_view magic,
                                std::string_view bytes,
                                std::uint64_t minimum_body) {
  constexpr std::uint64_t kPrefixBytes = kMagicBytes + sizeof(std::uint64_t);
  const char* error = nullptr;
  if (bytes.size() < kPrefixBytes + minimum_body) {
    error = " is incomplete";
  } else if (!bytes.starts_with(magic)) {
    error = " is not a file of this kind and version";
  } else if (NumberAt<std::uint64_t>(bytes, kMagicBytes) !=
             base::Hash64(bytes.substr(kPrefixBytes))) {
    error = " has a bad checksum";
  }
  if (error != nullptr) {
    throw damaged_storage(
        path.string() + error +
        ". This replica must not start with this data directory; if the "
        "other replicas are in order, empty the directory and start it again "
        "without --bootstrap.");
  }
  return bytes.substr(kPrefixBytes);
}

}  // namespace

std::string EncodeMetadata(const raft::hard_state& metadata) {
  std::string body;
  AppendNumber(metadata.term, body);
  AppendNumber(metadata.identity, body);
  body += metadata.voted_for;
  return AddChecksum(kMetadataMagic, body);
}

raft::hard_state ParseMetadata(const std::filesystem::path& path,
                               std::string_view bytes) {
  constexpr std::uint64_t kNumbersBytes = 16;
  const std::string_view body =
      VerifyChecksum(path, kMetadataMagic, bytes, kNumbersBytes);
  return {.term = NumberAt<std::uint64_t>(body, 0),
          .voted_for = std::string(body.substr(kNumbersBytes)),
          .identity = NumberAt<std::uint64_t>(body, 8)};
}

std::string EncodeSnapshot(const raft::snapshot& content) {
  const std::string replicas = wire::EncodeReplicas(content.replicas);
  std::string body;
  body.reserve(replicas.size() + content.data->size() + 24);
  AppendNumber(content.last_index, body);
  AppendNumber(content.last_term, body);
  AppendNumber(static_cast<std::uint64_t>(replicas.size()), body);
  body += replicas;
  body += *content.data;
  return AddChecksum(kSnapshotMagic, body);
}

raft::snapshot ParseSnapshot(const std::filesystem::path& path,
                             std::string_view bytes) {
  constexpr std::uint64_t kNumbersBytes = 24;
  const std::string_view body =
      VerifyChecksum(path, kSnapshotMagic, bytes, kNumbersBytes);
  const auto replicas_bytes = NumberAt<std::uint64_t>(body, 16);
  const std::string_view rest = body.substr(kNumbersBytes);
  if (replicas_bytes > rest.size()) {
    throw damaged_storage(path.string() + " has an impossible length field");
  }
  return {
      .last_index = NumberAt<std::uint64_t>(body, 0),
      .last_term = NumberAt<std::uint64_t>(body, 8),
      .replicas = wire::DecodeReplicas(rest.substr(0, replicas_bytes)),
      .data = std::make_shared<const std::string>(rest.substr(replicas_bytes))};
}

std::string EncodeInitialFiles(const initial_files& files) {
  std::string body;
  for (const auto& [name, content] : files) {
    for (const std::string* part : {&name, &content}) {
      AppendNumber(static_cast<std::uint64_t>(part->size()), body);
      body += *part;
    }
  }
  return AddChecksum(kInitialMagic, body);
}

initial_files ParseInitialFiles(const std::filesystem::path& path,
                                std::string_view bytes) {
  std::string_view rest = VerifyChecksum(path, kInitialMagic, bytes, 0);
  const auto take = [&] {
    const std::uint64_t size = rest.size() < sizeof(std::uint64_t)
                                   ? rest.size()
                                   : NumberAt<std::uint64_t>(rest, 0);
    if (size > rest.size() - std::min(rest.size(), sizeof size)) {
      throw damaged_storage(path.string() + " has an impossible length field");
    }
    std::string part(rest.substr(sizeof size, size));
    rest.remove_prefix(sizeof size + size);
    return part;
  };
  initial_files files;
  while (!rest.empty()) {
    std::string name = take();
    files.emplace_back(std::move(name), take());
  }
  return files;
}

}  // namespace wisteriaroute::storage
