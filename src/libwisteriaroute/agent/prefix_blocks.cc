#include "libwisteriaroute/agent/prefix_blocks.h"

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::agent {

namespace {

std::string StringMember(const nlohmann::json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

}  // namespace

std::string PromptText(const nlohmann::json& body) {
  if (!body.is_object()) {
    return {};
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return StringMember(body, "prompt");
  }
  std::string text;
  for (const nlohmann::json& message : *messages) {
    if (message.is_object()) {
      text += StringMember(message, "role") + "\n" +
              StringMember(message, "content") + "\n";
    }
  }
  return text;
}

std::vector<std::uint64_t> PrefixBlockHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at + kPrefixBlockBytes <= prompt.size();
       at += kPrefixBlockBytes) {
    hash = base::Hash64(prompt.substr(at, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace wisteriaroute::agent
