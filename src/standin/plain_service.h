#ifndef STANDIN_PLAIN_SERVICE_H_
#define STANDIN_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisteriaroute::standin {

struct booking {
  std::uint64_t number = 0;
  std::string key;
  std::string attempt_id;
  std::string body;
};

/**
 * Records every executed `POST /bookings`, without deduplication, so that tests
 * can detect repeated execution.
 */
class plain_service {
 public:
  const booking& Book(std::string key,
                      std::string attempt_id,
                      std::string body);

  /**
   * Returns the body of `GET /bookings`: all executed bookings, with counts per
   * idempotency key, per body and per attempt.
   */
  nlohmann::json List() const;

 private:
  std::vector<booking> bookings_;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_PLAIN_SERVICE_H_
