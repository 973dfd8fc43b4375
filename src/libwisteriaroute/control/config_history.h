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

/** The changes of one revision. */
struct revision_delta {
  std::uint64_t revision = 0;
  std::string operation_id;
  /** Log time of the publication, Unix ms. */
  base::time_ms time_ms = 0;
  std::vector<wire::config_object> changed;
  std::vector<wire::object_name> removed;

  bool operator==(const revision_delta&) const = default;
};

/** An accepted publish operation, kept to recognize a resend. */
struct publish_operation {
  std::string operation_id;
  base::digest128 content_digest;
  std::uint64_t revision = 0;

  bool operator==(const publish_operation&) const = default;
};

/** The objects of the newest revision and the latest changes. */
struct config_history {
  std::uint64_t revision = 0;
  std::map<wire::object_name, std::string> objects;
  /** Sum of the digests of all objects; zero for a published document. */
  base::digest128 digest;
  std::deque<revision_delta> deltas;
  std::deque<publish_operation> operations;

  bool operator==(const config_history&) const = default;
};

/** A publish request in the log, after validation by the leader. */
struct publish_command {
  std::uint64_t base_revision = 0;
  std::string operation_id;
  /** Digest of the operator's request; see ContentDigest. */
  base::digest128 content_digest;
  /** Digest of the resulting set of objects that the leader validated. */
  base::digest128 result_digest;
  /** False if the base revision was stale and nothing could be validated. */
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
  /** Whether the request was a repetition that changed nothing. */
  bool repeated = false;

  bool operator==(const publish_result&) const = default;
};

/** Kind and name of the single object that holds a published document. */
inline constexpr std::string_view kDocumentKind = "document";

/**
 * Publishes a document if its version is higher than the current revision. The
 * version becomes the revision, and the document replaces all objects.
 * Otherwise nothing changes, and the result is `repeated`.
 */
publish_result PublishDocument(config_history& history,
                               const wire::publish_document& document);

/** The published document, or an empty string. */
std::string_view DocumentBody(const config_history& history);

/** Applies a publish command if its base is the current revision. */
publish_result Publish(config_history& history,
                       const publish_command& command,
                       base::time_ms log_time_ms);

/**
 * The update that brings a member from `from` to the newest revision: the net
 * changes if all deltas since are kept, otherwise the full set with base 0.
 */
wire::config_update UpdateSince(const config_history& history,
                                std::uint64_t from);

/** All objects, sorted by kind and name. */
std::vector<wire::config_object> Objects(const config_history& history);

/**
 * Digest of a request, to distinguish a resend from a reused operation id. The
 * base revision isn't included, because a resend may carry a newer one.
 */
base::digest128 ContentDigest(const wire::publish_request& request);

/** Computes the digest of the set after a change, without applying it. */
base::digest128 DigestAfter(const config_history& history,
                            const std::vector<wire::config_object>& changed,
                            const std::vector<wire::object_name>& removed);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_CONFIG_HISTORY_H_
