#include "standin/plain_service.h"

namespace wisteriaroute::standin {

const booking& plain_service::Book(std::string key,
                                   std::string attempt_id,
                                   std::string body) {
  return bookings_.emplace_back(booking{.number = bookings_.size() + 1,
                                        .key = std::move(key),
                                        .attempt_id = std::move(attempt_id),
                                        .body = std::move(body)});
}

nlohmann::json plain_service::List() const {
  nlohmann::json all = nlohmann::json::array();
  std::map<std::string, std::uint64_t> by_key;
  std::map<std::string, std::uint64_t> by_body;
  std::map<std::string, std::uint64_t> by_attempt;
  for (const booking& entry : bookings_) {
    all.push_back({{"number", entry.number},
                   {"key", entry.key},
                   {"attempt_id", entry.attempt_id},
                   {"body", entry.body}});
    ++by_key[entry.key];
    ++by_body[entry.body];
    ++by_attempt[entry.attempt_id];
  }
  return {{"bookings", std::move(all)},
          {"count", bookings_.size()},
          {"by_key", by_key},
          {"by_body", by_body},
          {"by_attempt", by_attempt}};
}

}  // namespace wisteriaroute::standin
