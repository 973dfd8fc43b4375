#include "libwisteriaroute/net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace wisteriaroute::net {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",       "keep-alive",          "proxy-authenticate",
    "proxy-connection", "proxy-authorization", "te",
    "trailer",          "transfer-encoding",   "upgrade"};

bool IsSpace(char c) {
  return c == ' ' || c == '\t';
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsSpace(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsSpace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

std::string_view FindHeader(const http_headers& headers,
                            std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

bool HasToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    if (EqualIgnoringCase(Trim(value.substr(0, comma)), token)) {
      return true;
    }
    value = comma == value.npos ? std::string_view() : value.substr(comma + 1);
  }
  return false;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

bool IsHopByHop(std::string_view name) {
  return std::ranges::find(kHopByHop, name) != kHopByHop.end();
}

}  // namespace wisteriaroute::net
