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

bool IsFieldName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || kMarks.find(c) != kMarks.npos;
  });
}

bool IsFieldText(std::string_view text) {
  constexpr unsigned char kDelete = 127;
  return std::ranges::all_of(text, [](unsigned char c) {
    return c == '\t' || (c >= ' ' && c != kDelete);
  });
}

bool HasOneFraming(const http_headers& headers, int version) {
  std::string_view length;
  int encodings = 0;
  for (const auto& [name, value] : headers) {
    if (name == "content-length") {
      const bool is_number =
          !value.empty() && std::ranges::all_of(value, [](char c) {
            return c >= '0' && c <= '9';
          });
      if (!is_number || (!length.empty() && length != value)) {
        return false;
      }
      length = value;
    } else if (name == "transfer-encoding") {
      ++encodings;
      if (!EqualIgnoringCase(Trim(value), "chunked")) {
        return false;
      }
    }
  }
  constexpr int kFirstChunkedVersion = 11;
  return encodings == 0 ||
         (encodings == 1 && length.empty() && version >= kFirstChunkedVersion);
}

bool IsHopByHop(std::string_view name) {
  return std::ranges::find(kHopByHop, name) != kHopByHop.end();
}

}  // namespace wisteriaroute::net
