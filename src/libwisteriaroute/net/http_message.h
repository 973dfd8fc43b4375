#ifndef LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_
#define LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriaroute::net {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/** Value of a header by its lower-case name, or empty. */
std::string_view FindHeader(const http_headers& headers, std::string_view name);

/** Whether a comma-separated header value holds `token`, in any case. */
bool HasToken(std::string_view value, std::string_view token);

std::string LowerCase(std::string_view text);

/** Whether the header concerns one connection only; by lower-case name. */
bool IsHopByHop(std::string_view name);

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_
