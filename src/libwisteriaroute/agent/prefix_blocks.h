#ifndef LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_
#define LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace wisteriaroute::agent {

/** Bytes of prompt text in one block of a prefix cache. */
inline constexpr std::size_t kPrefixBlockBytes = 64;

/**
 * Text of a completion's prompt, or of a chat's messages as `role`, line
 * break, `content`, line break each. Empty if the body has neither.
 */
std::string PromptText(const nlohmann::json& body);

/**
 * Hashes of the whole blocks of a prompt. Each hash covers all blocks up to
 * its own: Hash64(block, seed = hash of the blocks before, 0 at first).
 */
std::vector<std::uint64_t> PrefixBlockHashes(std::string_view prompt);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_
