#ifndef LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_
#define LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriaroute::net {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of a header by its lower-case name, or empty. */
std::string_view FindHeader(const http_headers& headers, std::string_view name);

/** Whether a comma-separated header value contains `token`, ignoring case. */
bool HasToken(std::string_view value, std::string_view token);

std::string LowerCase(std::string_view text);

/** Whether the text may be the name of a header. */
bool IsFieldName(std::string_view text);

/** Whether the text may be the value of a header: no control bytes but tabs. */
bool IsFieldText(std::string_view text);

/**
 * Whether the headers, with names in lower case, state the length of the body
 * in at most one way: no two lengths, none beside `chunked`, no other transfer
 * encoding. `version` is 11 for HTTP/1.1.
 */
bool HasOneFraming(const http_headers& headers, int version);

/** Whether the header with this lower-case name is hop-by-hop. */
bool IsHopByHop(std::string_view name);

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_MESSAGE_H_
