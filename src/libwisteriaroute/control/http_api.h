#ifndef LIBWISTERIAROUTE_CONTROL_HTTP_API_H_
#define LIBWISTERIAROUTE_CONTROL_HTTP_API_H_

#include <string>
#include <variant>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** Error response to a call that is rejected before it reaches the reducer. */
struct api_refusal {
  unsigned status = 400;
  std::string code;
  std::string message;
};

/** A decoded HTTP call of an operator or backend server, or its rejection. */
using api_call = std::variant<wire::publish_document,
                              wire::get_document,
                              wire::report_server,
                              wire::evacuation_order,
                              api_refusal>;

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_HTTP_API_H_
