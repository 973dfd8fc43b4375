#ifndef LIBWISTERIAROUTE_WIRE_COMMON_H_
#define LIBWISTERIAROUTE_WIRE_COMMON_H_

#include <common.capnp.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/digest.h"

namespace capnp {
class MessageBuilder;
}

namespace wisteriaroute::wire {

/** Header names and values of an HTTP message. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** Incarnation of the entry (high) and a counter within it (low). */
using attempt_id = base::digest128;

/** Whether a request was executed, as far as is known. */
enum class outcome : std::uint8_t { kNotRun = 0, kUnknown = 1, kRan = 2 };

/** Thrown for bytes that don't decode as a message of the schema. */
class malformed_message : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string_view ToString(outcome value);

// Codec helpers.

void Write(const base::digest128& from, proto::Digest128::Builder to);
base::digest128 Read(proto::Digest128::Reader from);

capnp::Data::Reader AsData(std::string_view bytes);
std::string ReadData(capnp::Data::Reader data);

void WriteHeaders(const header_list& from,
                  capnp::List<proto::Header>::Builder to);
header_list ReadHeaders(capnp::List<proto::Header>::Reader from);

template <typename Number>
std::vector<Number> ReadNumbers(
    typename capnp::List<Number, capnp::Kind::PRIMITIVE>::Reader from) {
  std::vector<Number> numbers;
  numbers.reserve(from.size());
  for (const Number number : from) {
    numbers.push_back(number);
  }
  return numbers;
}

/** Serializes a message in Cap'n Proto's standard (unpacked) encoding. */
std::string Serialize(capnp::MessageBuilder& builder);

/** Word-aligned copy of one encoded message, as Cap'n Proto needs it. */
class message_bytes {
 public:
  /**
   * Throws malformed_message if `bytes` is empty or not a whole number of
   * 8-byte words.
   */
  explicit message_bytes(std::string_view bytes);

  kj::ArrayPtr<const capnp::word> words() const { return words_; }

 private:
  kj::Array<capnp::word> words_;
};

/** Converts to an enumerator. Throws malformed_message if >= `count`. */
template <typename Enum>
Enum ReadEnum(unsigned value, unsigned count) {
  if (value >= count) {
    throw malformed_message("enum value out of range");
  }
  return static_cast<Enum>(value);
}

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_COMMON_H_
