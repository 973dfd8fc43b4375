#ifndef LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_
#define LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace wisteriaroute::agent {

/** Bytes of prompt text per prefix cache block. */
inline constexpr std::size_t kPrefixBlockBytes = 64;

/**
 * Returns the `prompt` of a completion request, or the messages of a chat
 * request, each as `role`, line break, `content`, line break. Empty if the body
 * has neither.
 */
std::string PromptText(const nlohmann::json& body);

/**
 * Returns one hash per complete block of a prompt. Each hash also covers all
 * preceding blocks: Hash64(block, seed = hash of the previous block, 0 for the
 * first block).
 */
std::vector<std::uint64_t> PrefixBlockHashes(std::string_view prompt);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_PREFIX_BLOCKS_H_
