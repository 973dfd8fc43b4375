#ifndef LIBWISTERIAROUTE_CONTROL_CONFIG_HISTORY_H_
#define LIBWISTERIAROUTE_CONTROL_CONFIG_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

inline constexpr std::size_t kKeptDeltas = 1'000;
inline constexpr std::size_t kKeptOperations = 10'000;

/** What one revision changed. */
struct revision_delta {
  std::uint64_t revision = 0;
  std::string operation_id;
  /** The log's time. */
  base::time_ms time_ms = 0;
  std::vector<wire::config_object> changed;
  std::vector<wire::object_name> removed;

  bool operator==(const revision_delta&) const = default;
};

/** An accepted publish operation, kept to answer a resend. */
struct publish_operation {
  std::string operation_id;
  base::digest128 content_digest;
  std::uint64_t revision = 0;

  bool operator==(const publish_operation&) const = default;
};

/** The named objects of the newest revision and how they came about. */
struct config_history {
  std::uint64_t revision = 0;
  std::map<wire::object_name, std::string> objects;
  /** Sum of the digests of all objects; not kept for a document alone. */
  base::digest128 digest;
  std::deque<revision_delta> deltas;
  std::deque<publish_operation> operations;

  bool operator==(const config_history&) const = default;
};

/** A publish request as the leader writes it to the log. */
struct publish_command {
  std::uint64_t base_revision = 0;
  std::string operation_id;
  /** Digest of the operator's request. */
  base::digest128 content_digest;
  /** Digest of the whole resulting set, which the leader has validated. */
  base::digest128 result_digest;
  /** False if the base wasn't current, so that nothing could be validated. */
  bool validated = false;
  std::vector<wire::config_object> changed;
  std::vector<wire::object_name> removed;

  bool operator==(const publish_command&) const = default;
};

enum class publish_code : std::uint8_t {
  kOk,
  kStaleBase,
  kOperationReused,
  kDigestMismatch,
};

struct publish_result {
  publish_code code = publish_code::kOk;
  /** The revision of the operation, or the newest if it was refused. */
  std::uint64_t revision = 0;
  /** Whether this is the answer to a resend; nothing changed. */
  bool repeated = false;

  bool operator==(const publish_result&) const = default;
};

/** Kind and name of the one object of a set that was published whole. */
inline constexpr std::string_view kDocumentKind = "document";

/**
 * Publishes a document if its version is higher than the revision in force,
 * which it becomes. Otherwise nothing changes, and the result is `repeated`.
 */
publish_result PublishDocument(config_history& history,
                               const wire::publish_document& document);

/** The published document; empty if there is none. */
std::string_view DocumentBody(const config_history& history);

publish_result Publish(config_history& history,
                       const publish_command& command,
                       base::time_ms log_time_ms);

/** The update that brings a member from `from` to the newest revision. */
wire::config_update UpdateSince(const config_history& history,
                                std::uint64_t from);

/** All objects, sorted by kind and name. */
std::vector<wire::config_object> Objects(const config_history& history);

/**
 * Digest of a request, to tell a resend from a reused operation id. It leaves
 * out the base, which a resend reads again.
 */
base::digest128 ContentDigest(const wire::publish_request& request);

/** The set's digest after a change, without applying it. */
base::digest128 DigestAfter(const config_history& history,
                            const std::vector<wire::config_object>& changed,
                            const std::vector<wire::object_name>& removed);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_CONFIG_HISTORY_H_
