#include "libwisteriaroute/storage/log_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace wisteriaroute::storage {
namespace {

namespace fs = std::filesystem;

/**
 * A temporary directory, in memory if possible, because thousands of syncs to a
 * disk take a minute and aren't what is tested.
 */
struct temporary_directory {
  temporary_directory() {
    std::string name = "/dev/shm/wr_storage_XXXXXX";
    if (!fs::exists("/dev/shm")) {
      name = fs::temp_directory_path() / "wr_storage_XXXXXX";
    }
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~temporary_directory() { fs::remove_all(path); }
  fs::path path;
};

wire::log_entry Entry(std::uint64_t index, std::uint64_t term = 1) {
  return {.term = term,
          .index = index,
          .kind = wire::entry_kind::kCommand,
          .payload = "payload of " + std::to_string(index)};
}

raft::persist Entries(std::uint64_t first, std::uint64_t last) {
  raft::persist batch;
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back(Entry(i));
  }
  return batch;
}

raft::snapshot Snapshot(std::uint64_t index, std::uint64_t term = 1) {
  return {.last_index = index,
          .last_term = term,
          .replicas = {{.name = "a", .address = "h:1", .identity = 7}},
          .data = std::make_shared<const std::string>("machine")};
}

void WriteSynced(log_store& store, const raft::persist& batch) {
  store.Write(batch);
  store.Sync();
}

/** A directory with entries 1 to 6, written by three syncs. */
void Fill(const fs::path& directory, const store_options& options = {}) {
  log_store store(directory, options);
  store.Initialize({.metadata = {.term = 3, .voted_for = "b", .identity = 9}});
  WriteSynced(store, Entries(1, 2));
  WriteSynced(store, Entries(3, 3));
  WriteSynced(store, Entries(4, 6));
}

fs::path FindFile(const fs::path& directory, const std::string& prefix) {
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.path().filename().string().starts_with(prefix)) {
      return entry.path();
    }
  }
  FAIL("no such file");
  return {};
}

void Overwrite(const fs::path& path, const std::string& content) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

std::vector<wire::log_entry> Reopen(const fs::path& directory) {
  return log_store(directory).TakeContent().entries;
}

TEST_CASE("a log survives a restart") {
  const temporary_directory directory;
  const store_options options{.segment_bytes = 150};
  CHECK(log_store(directory.path).empty());
  Fill(directory.path, options);
  {
    log_store store(directory.path, options);
    REQUIRE_FALSE(store.empty());
    const raft::stored_state content = store.TakeContent();
    CHECK(content.metadata == raft::hard_state{3, "b", 9});
    CHECK(content.entries == Entries(1, 6).entries);
    CHECK_THROWS_WITH(log_store{directory.path},
                      doctest::Contains("another process"));

    raft::persist batch;
    batch.metadata = {.term = 4, .identity = 9};
    batch.truncate_from = 2;
    batch.entries = {Entry(2, 4), Entry(3, 4), Entry(4, 4)};
    WriteSynced(store, batch);
  }
  {
    log_store store(directory.path, options);
    const raft::stored_state content = store.TakeContent();
    CHECK(content.metadata.term == 4);
    CHECK(content.entries ==
          std::vector{Entry(1), Entry(2, 4), Entry(3, 4), Entry(4, 4)});

    raft::persist batch;
    batch.new_snapshot = Snapshot(3, 4);
    batch.compact_before = 4;
    WriteSynced(store, batch);
  }
  {
    log_store store(directory.path, options);
    const raft::stored_state content = store.TakeContent();
    REQUIRE(content.latest_snapshot);
    CHECK(content.latest_snapshot->replicas == Snapshot(3).replicas);
    CHECK(*content.latest_snapshot->data == "machine");
    // The segment with entries 1 to 3 is gone.
    CHECK(content.entries == std::vector{Entry(4, 4)});

    raft::persist batch;
    batch.new_snapshot = Snapshot(9, 5);
    batch.reset_log_to = 10;
    batch.entries = {Entry(10, 5)};
    WriteSynced(store, batch);
  }
  CHECK(Reopen(directory.path) == std::vector{Entry(10, 5)});
}

// Guards against a replica that doesn't start after a power loss.
TEST_CASE("a torn tail is removed wherever the last segment is truncated") {
  const temporary_directory source;
  Fill(source.path);
  const fs::path segment = FindFile(source.path, "log-");
  const std::string whole = ReadFile(segment);
  const segment_content parsed = ParseSegment(segment, whole, 1, true);
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    Overwrite(segment, whole.substr(0, size));
    std::size_t expected = 0;
    while (expected < parsed.entries.size() &&
           parsed.offsets[expected] + kRecordHeaderBytes +
                   parsed.entries[expected].payload.size() <=
               size) {
      ++expected;
    }
    CAPTURE(size);
    log_store store(source.path);
    CHECK(store.TakeContent().entries == Entries(1, expected).entries);
    // New entries are appended after the last whole one.
    WriteSynced(store, Entries(expected + 1, expected + 1));
    CHECK(store.last_index() == expected + 1);
  }
}

TEST_CASE("an unsynced batch whose first page is missing is a torn tail") {
  const temporary_directory directory;
  Fill(directory.path);
  const fs::path segment = FindFile(directory.path, "log-");
  std::string bytes = ReadFile(segment);
  const std::size_t end = bytes.size();
  for (std::uint64_t i = 7; i <= 9; ++i) {
    AppendRecord(Entry(i), 6, {1, bytes.size()}, bytes);
  }
  std::fill_n(bytes.begin() + static_cast<long>(end), 30, '\0');
  Overwrite(segment, bytes);
  CHECK(Reopen(directory.path) == Entries(1, 6).entries);
  CHECK(fs::file_size(segment) == end);
}

// Guards against a replica that silently drops acknowledged entries.
TEST_CASE("a flipped bit never removes a synced entry silently") {
  const temporary_directory directory;
  store_options options;
  SUBCASE("one segment") {}
  SUBCASE("several segments") {
    options.segment_bytes = 150;
  }
  Fill(directory.path, options);
  for (const auto& file : fs::directory_iterator(directory.path)) {
    const std::string name = file.path().filename();
    if (!name.starts_with("log-")) {
      continue;
    }
    const std::string good = ReadFile(file.path());
    int refused = 0;
    for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
      std::string bad = good;
      bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << (bit % 8)));
      Overwrite(file.path(), bad);
      CAPTURE(name);
      CAPTURE(bit);
      std::vector<wire::log_entry> found = Entries(1, 6).entries;
      try {
        found = Reopen(directory.path);
      } catch (const damaged_storage&) {
        ++refused;
      }
      CHECK(found == Entries(1, 6).entries);
    }
    // Flips are refused in all records but the last mark, which has no entry.
    CHECK(refused >= static_cast<int>((good.size() - kRecordHeaderBytes) * 8));
    Overwrite(file.path(), good);
  }
  CHECK(Reopen(directory.path) == Entries(1, 6).entries);
}

TEST_CASE("a missing segment is reported as damage") {
  const temporary_directory directory;
  Fill(directory.path, {.segment_bytes = 100});
  fs::path removed;
  SUBCASE("the first") {
    removed = directory.path / "log-00000000000000000001";
  }
  SUBCASE("one in the middle") {
    removed = directory.path / "log-00000000000000000004";
  }
  REQUIRE(fs::remove(removed));
  CHECK_THROWS_AS(Reopen(directory.path), damaged_storage);
}

TEST_CASE("truncated or damaged metadata and snapshot files are refused") {
  const temporary_directory directory;
  Fill(directory.path);
  {
    log_store store(directory.path);
    raft::persist batch;
    batch.new_snapshot = Snapshot(4);
    store.Write(batch);
  }
  for (const char* prefix : {"metadata", "snapshot-"}) {
    const fs::path path = FindFile(directory.path, prefix);
    const std::string good = ReadFile(path);
    for (std::size_t at = 0; at < good.size(); ++at) {
      CAPTURE(at);
      Overwrite(path, good.substr(0, at));
      CHECK_THROWS_AS(Reopen(directory.path), damaged_storage);
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ 4);
      Overwrite(path, bad);
      CHECK_THROWS_AS(Reopen(directory.path), damaged_storage);
    }
    Overwrite(path, good);
    // A crash before the rename leaves an incomplete temporary file.
    Overwrite(path.string() + ".tmp", good.substr(0, good.size() / 2));
    CHECK(Reopen(directory.path) == Entries(1, 6).entries);
  }
  fs::remove(directory.path / "metadata");
  CHECK_THROWS_WITH(Reopen(directory.path), doctest::Contains("voted"));
}

TEST_CASE("a log that a received snapshot replaces is removed on opening") {
  const temporary_directory directory;
  Fill(directory.path);
  {
    log_store store(directory.path);
    raft::persist batch;
    SUBCASE("it ends before the snapshot") {
      batch.new_snapshot = Snapshot(8);
    }
    SUBCASE("it contradicts the snapshot") {
      batch.new_snapshot = Snapshot(5, 2);
    }
    // The process crashes before reset_log_to is carried out.
    store.Write(batch);
  }
  CHECK(Reopen(directory.path).empty());
}

/** In-memory model of the expected content. */
struct model {
  std::uint64_t snapshot_index = 0;
  std::vector<wire::log_entry> entries;

  std::uint64_t last_index() const {
    return entries.empty() ? snapshot_index : entries.back().index;
  }
};

raft::persist RandomBatch(model& expected, std::uint64_t term) {
  raft::persist batch;
  const std::uint64_t last = expected.last_index();
  if (last > expected.snapshot_index && *rc::gen::inRange(0, 4) == 0) {
    batch.truncate_from =
        *rc::gen::inRange(expected.snapshot_index + 1, last + 1);
    std::erase_if(expected.entries, [&](const auto& entry) {
      return entry.index >= batch.truncate_from;
    });
  }
  for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
    batch.entries.push_back(Entry(expected.last_index() + 1, term));
    expected.entries.push_back(batch.entries.back());
  }
  if (expected.last_index() > expected.snapshot_index &&
      *rc::gen::inRange(0, 6) == 0) {
    const auto& covered = expected.entries.back();
    batch.new_snapshot = Snapshot(covered.index, covered.term);
    batch.compact_before = covered.index + 1;
    expected.snapshot_index = covered.index;
  }
  return batch;
}

TEST_CASE("the store matches an in-memory model") {
  CHECK(rc::check("random batches and restarts", [] {
    const temporary_directory directory;
    const store_options options{.segment_bytes = 200};
    auto store = std::make_unique<log_store>(directory.path, options);
    store->Initialize({.metadata = {.identity = 5}});
    model expected;
    for (std::uint64_t step = 1; step <= 12; ++step) {
      const raft::persist batch = RandomBatch(expected, step);
      store->Write(batch);
      store->Sync();
      if (*rc::gen::inRange(0, 3) == 0) {
        store.reset();
        store = std::make_unique<log_store>(directory.path, options);
        auto found = store->TakeContent().entries;
        // Compaction removes whole segments, so older entries may remain.
        const auto old = [&](const auto& entry) {
          return entry.index <= expected.snapshot_index;
        };
        std::erase_if(found, old);
        auto wanted = expected.entries;
        std::erase_if(wanted, old);
        RC_ASSERT(found == wanted);
      }
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::storage
