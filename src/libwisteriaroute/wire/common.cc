#include "libwisteriaroute/wire/common.h"

#include <capnp/serialize.h>

#include <cstring>

namespace wisteriaroute::wire {

std::string_view ToString(outcome value) {
  switch (value) {
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
    case outcome::kRan:
      return "ran";
  }
  return "unknown";
}

void Write(const base::digest128& from, proto::Digest128::Builder to) {
  to.setHigh(from.high);
  to.setLow(from.low);
}

base::digest128 Read(proto::Digest128::Reader from) {
  return {.high = from.getHigh(), .low = from.getLow()};
}

capnp::Data::Reader AsData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ReadData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void WriteHeaders(const header_list& from,
                  capnp::List<proto::Header>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setName(from[i].first);
    to[i].setValue(AsData(from[i].second));
  }
}

header_list ReadHeaders(capnp::List<proto::Header>::Reader from) {
  header_list headers;
  headers.reserve(from.size());
  for (const auto header : from) {
    headers.emplace_back(header.getName().cStr(), ReadData(header.getValue()));
  }
  return headers;
}

std::string Serialize(capnp::MessageBuilder& builder) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

message_bytes::message_bytes(std::string_view bytes)
    : words_(kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word))) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    throw malformed_message(
        "message size is not a positive multiple of 8 bytes");
  }
  std::memcpy(words_.begin(), bytes.data(), bytes.size());
}

}  // namespace wisteriaroute::wire
