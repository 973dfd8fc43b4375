#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libwisteriaroute/raft/state.h"
#include "libwisteriaroute/storage/log_store.h"

namespace wisteriaroute::storage {
namespace {

namespace fs = std::filesystem;

/** Contents of a directory's files, by name. */
using files = std::map<std::string, std::string>;

files ReadFiles(const fs::path& directory) {
  files found;
  for (const auto& entry : fs::directory_iterator(directory)) {
    found[entry.path().filename()] = ReadFile(entry.path());
  }
  return found;
}

/** A temporary directory, in memory if possible: the tests sync thousands of
 * times. */
struct temporary_directory {
  explicit temporary_directory(const files& content = {}) {
    std::string name = "/dev/shm/wr_cut_XXXXXX";
    if (!fs::exists("/dev/shm")) {
      name = fs::temp_directory_path() / "wr_cut_XXXXXX";
    }
    REQUIRE(mkdtemp(name.data()) != nullptr);
    path = name;
    for (const auto& [file_name, bytes] : content) {
      std::ofstream(path / file_name, std::ios::binary) << bytes;
    }
  }
  ~temporary_directory() { fs::remove_all(path); }
  fs::path path;
};

/** Ends a sequence of changes, as a kill or a full disk does. */
struct cut_short {};

/**
 * Follows the changes in a directory, and cuts them before change number
 * `limit`. Knows what a power loss at that moment may leave of them.
 */
class disk {
 public:
  disk(fs::path directory, int limit)
      : directory_(std::move(directory)),
        limit_(limit),
        before_(ReadFiles(directory_)) {
    SetChangeObserver([this](file_change change, const fs::path& path) {
      if (++changes_ > limit_) {
        throw cut_short{};
      }
      Follow(change, path);
    });
  }
  ~disk() { SetChangeObserver(nullptr); }
  disk(const disk&) = delete;
  disk& operator=(const disk&) = delete;

  /** Later changes aren't cut any more, as those of the next process. */
  void EndCut() { limit_ = std::numeric_limits<int>::max(); }

  /** All contents that the directory may have after a power loss. A name that
   * was changed since the last sync of the directory is kept or lost, a file
   * that wasn't synced has its old content, its new one, or half of what was
   * added. */
  std::vector<files> AfterPowerLoss() const {
    const files now = ReadFiles(directory_);
    std::vector<files> outcomes = {now};
    std::set<std::string> uncertain = changed_names_;
    uncertain.insert(unsynced_.begin(), unsynced_.end());
    for (const std::string& name : uncertain) {
      std::vector<const std::string*> versions;
      const auto old = before_.find(name);
      const auto latest = now.find(name);
      std::string half;
      if (changed_names_.contains(name) || unsynced_.contains(name)) {
        versions.push_back(old == before_.end() ? nullptr : &old->second);
      }
      versions.push_back(latest == now.end() ? nullptr : &latest->second);
      if (unsynced_.contains(name) && latest != now.end()) {
        const std::string synced = old == before_.end() ? "" : old->second;
        const std::size_t kept =
            std::mismatch(synced.begin(), synced.end(), latest->second.begin(),
                          latest->second.end())
                .first -
            synced.begin();
        half = latest->second.substr(0, (kept + latest->second.size()) / 2);
        versions.push_back(&half);
      }
      std::vector<files> next;
      for (const files& outcome : outcomes) {
        for (const std::string* version : versions) {
          next.push_back(outcome);
          if (version == nullptr) {
            next.back().erase(name);
          } else {
            next.back()[name] = *version;
          }
        }
      }
      outcomes = std::move(next);
    }
    return outcomes;
  }

 private:
  void Follow(file_change change, const fs::path& path) {
    const std::string name = path.filename();
    switch (change) {
      case file_change::kCreate:
      case file_change::kRemove:
        changed_names_.insert(name);
        break;
      case file_change::kRename:
        changed_names_.insert(name);
        changed_names_.insert(name + std::string(kTemporarySuffix));
        break;
      case file_change::kWrite:
      case file_change::kTruncate:
        unsynced_.insert(name);
        break;
      case file_change::kSync:
        if (path == directory_) {
          changed_names_.clear();
          files now = ReadFiles(directory_);
          for (const std::string& other : unsynced_) {
            now.erase(other);
          }
          before_ = std::move(now);
        } else {
          unsynced_.erase(name);
          if (!changed_names_.contains(name)) {
            before_[name] = ReadFile(path);
          }
        }
        break;
    }
  }

  const fs::path directory_;
  int limit_;
  int changes_ = 0;
  /** Contents that are certain to survive, where they were not replaced. */
  files before_;
  std::set<std::string> changed_names_;
  std::set<std::string> unsynced_;
};

/** What a cut of `work` may leave: by a kill or a full disk, and by a loss of
 * power. The last one is that of `work` when it isn't cut. */
struct outcome {
  int cut_before = 0;
  bool complete = false;
  files left;
};

std::vector<outcome> CutEverywhere(
    const files& start,
    const std::function<void(const fs::path&)>& work) {
  std::vector<outcome> outcomes;
  for (int limit = 0;; ++limit) {
    const temporary_directory directory(start);
    disk observed(directory.path, limit);
    bool complete = true;
    try {
      work(directory.path);
    } catch (const cut_short&) {
      complete = false;
    }
    outcomes.push_back({limit, complete, ReadFiles(directory.path)});
    for (files& left : observed.AfterPowerLoss()) {
      outcomes.push_back({limit, complete, std::move(left)});
    }
    if (complete) {
      return outcomes;
    }
  }
}

raft::stored_state FirstVoter() {
  return raft::MakeBootstrapped(
      {{.name = "a", .address = "h:1"}, {.name = "b", .address = "h:2"}});
}

bool HasContent(const raft::stored_state& found,
                const raft::stored_state& expected) {
  return found.metadata == expected.metadata &&
         found.entries == expected.entries &&
         found.latest_snapshot.has_value() ==
             expected.latest_snapshot.has_value();
}

wire::log_entry Entry(std::uint64_t index, std::uint64_t term = 1) {
  return {.term = term,
          .index = index,
          .kind = wire::entry_kind::kCommand,
          .payload = "payload of " + std::to_string(index)};
}

raft::snapshot Snapshot(std::uint64_t index, std::uint64_t term = 1) {
  return {.last_index = index,
          .last_term = term,
          .replicas = {{.name = "a", .address = "h:1", .identity = 7}},
          .data = std::make_shared<const std::string>("machine")};
}

/** A first start on a directory in which an earlier one was cut short. */
void StartFirst(const fs::path& directory, const raft::stored_state& content) {
  log_store store(directory);
  if (store.empty()) {
    store.Initialize(content);
  }
}

// Guards against a replica that never starts again (review/4): a first start
// that was cut short left a segment without metadata, which counts as damage.
TEST_CASE("a first start may be cut anywhere") {
  raft::stored_state content;
  SUBCASE("of a first voter") {
    content = FirstVoter();
  }
  SUBCASE("of a replica that has lost its disk") {
    content = raft::MakeEmpty(77);
  }
  SUBCASE("of one that starts from a snapshot") {
    content = raft::MakeEmpty(77);
    content.latest_snapshot = Snapshot(4);
    content.entries = {Entry(5)};
  }
  for (const outcome& first : CutEverywhere({}, [&](const fs::path& directory) {
         StartFirst(directory, content);
       })) {
    CAPTURE(first.cut_before);
    const temporary_directory directory(first.left);
    log_store store(directory.path);
    if (first.complete) {
      // It may vote from now on, so nothing may be lost any more.
      REQUIRE_FALSE(store.empty());
    }
    if (!store.empty()) {
      CHECK(HasContent(store.TakeContent(), content));
    }
  }
  SUBCASE("and the start after it, too") {
    for (const outcome& first :
         CutEverywhere({}, [&](const fs::path& directory) {
           StartFirst(directory, content);
         })) {
      for (const outcome& second :
           CutEverywhere(first.left, [&](const fs::path& directory) {
             StartFirst(directory, content);
           })) {
        CAPTURE(first.cut_before);
        CAPTURE(second.cut_before);
        const temporary_directory directory(second.left);
        StartFirst(directory.path, content);
        CHECK(HasContent(log_store(directory.path).TakeContent(), content));
      }
    }
  }
}

// A voter that starts anew under its old identity could vote twice in a term.
TEST_CASE("a directory that may have voted is refused without its metadata") {
  for (const raft::stored_state& content :
       {FirstVoter(), raft::MakeEmpty(77)}) {
    const temporary_directory directory;
    StartFirst(directory.path, content);
    SUBCASE("after the first start") {}
    SUBCASE("after a vote") {
      log_store store(directory.path);
      store.TakeContent();
      raft::persist vote;
      vote.metadata = {.term = 2, .voted_for = "b", .identity = 1};
      store.Write(vote);
    }
    fs::remove(directory.path / "metadata");
    CHECK_THROWS_AS(log_store{directory.path}, damaged_storage);
    CHECK_THROWS_AS(log_store{directory.path}, damaged_storage);
  }
}

// Guards against a disk that stays full: a snapshot that didn't fit left its
// temporary file behind, and the next one had another name.
TEST_CASE("a temporary file of an earlier process takes up no space") {
  const temporary_directory directory;
  StartFirst(directory.path, FirstVoter());
  std::ofstream(directory.path / "snapshot-00000000000000000007.tmp") << "half";
  CHECK(HasContent(log_store(directory.path).TakeContent(), FirstVoter()));
  CHECK(ReadFiles(directory.path).size() == 3);
}

/** Entries 1 to 6 in three segments, all synced. */
files SixEntries(const store_options& options) {
  const temporary_directory directory;
  {
    log_store store(directory.path, options);
    store.Initialize(
        {.metadata = {.term = 3, .voted_for = "b", .identity = 9}});
    for (std::uint64_t index = 1; index <= 6; ++index) {
      raft::persist batch;
      batch.entries = {Entry(index)};
      store.Write(batch);
      store.Sync();
    }
  }
  return ReadFiles(directory.path);
}

TEST_CASE("a received snapshot, a truncation and a compaction may be cut") {
  const store_options options{.segment_bytes = 200};
  const files start = SixEntries(options);
  REQUIRE(start.size() > 4);
  raft::persist batch;
  // The entries that survive whether or not the batch was written.
  std::uint64_t kept_until = 0;
  SUBCASE("the log ends before the snapshot") {
    batch.new_snapshot = Snapshot(8, 2);
    batch.reset_log_to = 9;
    batch.entries = {Entry(9, 2), Entry(10, 2)};
  }
  SUBCASE("the log contradicts the snapshot") {
    batch.new_snapshot = Snapshot(5, 2);
    batch.reset_log_to = 6;
    batch.entries = {Entry(6, 2)};
  }
  SUBCASE("the metadata changes, too") {
    batch.metadata = {.term = 4, .identity = 9};
    batch.new_snapshot = Snapshot(8, 4);
    batch.reset_log_to = 9;
  }
  SUBCASE("a truncation") {
    batch.truncate_from = 2;
    batch.entries = {Entry(2, 2), Entry(3, 2)};
    kept_until = 1;
  }
  SUBCASE("an own snapshot with compaction") {
    batch.new_snapshot = Snapshot(5);
    batch.compact_before = 6;
    kept_until = 6;
  }
  for (const outcome& cut : CutEverywhere(start, [&](const fs::path& path) {
         log_store store(path, options);
         store.Write(batch);
         store.Sync();
       })) {
    CAPTURE(cut.cut_before);
    // The start after the cut may be cut as well.
    for (const outcome& again :
         CutEverywhere(cut.left, [&](const fs::path& path) {
           log_store{path, options};
         })) {
      CAPTURE(again.cut_before);
      const temporary_directory directory(again.left);
      log_store store(directory.path, options);
      REQUIRE_FALSE(store.empty());
      const raft::stored_state found = store.TakeContent();
      CHECK(found.metadata.identity == 9);
      const bool is_new = found.latest_snapshot.has_value();
      const std::uint64_t base = is_new ? found.latest_snapshot->last_index : 0;
      const std::uint64_t last =
          found.entries.empty() ? base : found.entries.back().index;
      CHECK(last >= kept_until);
      if (cut.complete) {
        CHECK(is_new == batch.new_snapshot.has_value());
        CHECK(found.metadata.term == (batch.metadata ? 4 : 3));
        for (const wire::log_entry& entry : batch.entries) {
          CHECK(std::count(found.entries.begin(), found.entries.end(), entry) ==
                1);
        }
      } else if (!is_new && batch.truncate_from == 0) {
        CHECK(last == 6);
      }
      // The log goes on where it ends.
      raft::persist more;
      more.entries = {Entry(std::max(last, base) + 1, 9)};
      store.Write(more);
      store.Sync();
    }
  }
}

// Guards against a replica that counts entries as synced which it has only read
// (issue 26): its process was killed between a write and the sync, the next one
// acknowledged what it found, and a loss of power took it away.
TEST_CASE("what a start has read survives a loss of power") {
  temporary_directory initial;
  {
    log_store store(initial.path);
    store.Initialize(FirstVoter());
    store.Write({.entries = {Entry(2), Entry(3)}});
    store.Sync();
  }
  const files start = ReadFiles(initial.path);
  bool complete = false;
  for (int limit = 0; !complete; ++limit) {
    CAPTURE(limit);
    const temporary_directory directory(start);
    auto observed = std::make_optional<disk>(directory.path, limit);
    try {
      log_store killed(directory.path);
      killed.Write({.metadata = raft::hard_state{
                        .term = 5, .voted_for = "b", .identity = 1}});
      killed.Write({.truncate_from = 3, .entries = {Entry(3, 2), Entry(4, 2)}});
      killed.Sync();
      killed.Write({.new_snapshot = Snapshot(3, 2)});
      killed.Write({.entries = {Entry(5, 2)}});
      killed.Sync();
      complete = true;
    } catch (const cut_short&) {
    }
    observed->EndCut();
    const raft::stored_state read = log_store(directory.path).TakeContent();
    const std::vector<files> outcomes = observed->AfterPowerLoss();
    observed.reset();
    for (const files& left : outcomes) {
      const temporary_directory after(left);
      CHECK(HasContent(log_store(after.path).TakeContent(), read));
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::storage
