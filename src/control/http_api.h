#ifndef CONTROL_HTTP_API_H_
#define CONTROL_HTTP_API_H_

#include <string>
#include <variant>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A call that is answered without asking the replicated state. */
struct api_refusal {
  unsigned status = 400;
  std::string code;
  std::string message;
};

/** What operators and backend servers may ask over HTTP. */
using api_call = std::variant<wire::publish_document,
                              wire::get_document,
                              wire::report_server,
                              api_refusal>;

}  // namespace wisteriaroute::control

#endif  // CONTROL_HTTP_API_H_
