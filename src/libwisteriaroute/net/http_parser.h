#ifndef LIBWISTERIAROUTE_NET_HTTP_PARSER_H_
#define LIBWISTERIAROUTE_NET_HTTP_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include "libwisteriaroute/net/http_message.h"

namespace wisteriaroute::net {

/**
 * Incremental HTTP/1.1 parser of one message, based on Beast's parser. Collects
 * the parts of the message. The owner may take `body` between calls of Feed.
 */
template <bool IsRequest>
class http_parser final : public boost::beast::http::basic_parser<IsRequest> {
 public:
  using base = boost::beast::http::basic_parser<IsRequest>;

  struct feed_result {
    /** Number of input bytes that were parsed as part of this message. */
    std::size_t consumed = 0;
    bool failed = false;
    /** Status for a request that exceeded a limit: 400, 413 or 431; otherwise
     * 0. */
    unsigned limit_status = 0;
    std::string error;
  };

  /**
   * `header_bytes` also limits what may remain unparsed after the header: a
   * chunk header with its extensions, or the trailers.
   */
  http_parser(std::size_t header_bytes, std::uint64_t body_bytes)
      : header_bytes_(header_bytes) {
    this->header_limit(static_cast<std::uint32_t>(header_bytes));
    this->body_limit(body_bytes);
    this->eager(true);
  }

  /** Parses as much of `input` as possible. */
  feed_result Feed(std::string_view input) {
    feed_result result;
    while (!this->is_done() && result.consumed < input.size()) {
      boost::system::error_code error;
      const std::size_t used =
          this->put(boost::asio::const_buffer(input.data() + result.consumed,
                                              input.size() - result.consumed),
                    error);
      result.consumed += used;
      consumed_bytes_ += used;
      if (consumed_bytes_ - body_bytes_ >
          kMinFramingBytes + 2 * header_bytes_ +
              kFramingPerBodyByte * body_bytes_) {
        Limit(result, kBadRequest, "too many bytes outside of the body");
        break;
      }
      if (error == boost::beast::http::error::need_more) {
        if (used == 0) {
          break;
        }
        continue;
      }
      if (error) {
        result.failed = true;
        result.error = error.message();
        if (error == boost::beast::http::error::header_limit) {
          result.limit_status = kHeadersTooLarge;
        } else if (error == boost::beast::http::error::body_limit) {
          result.limit_status = kBodyTooLarge;
        }
        break;
      }
      if (used == 0) {
        break;
      }
    }
    // Beast applies its limit to what it hasn't consumed of the header, and
    // fields that arrive in pieces that end after the first byte of the next
    // one never exceed it.
    if (!result.failed && !this->is_header_done() &&
        consumed_bytes_ + input.size() - result.consumed > header_bytes_) {
      Limit(result, kHeadersTooLarge, "header limit exceeded");
    }
    // Beast asks for more input until a chunk header or the trailers are
    // complete, and has no limit for either.
    if (!result.failed && this->is_header_done() && !this->is_done() &&
        input.size() - result.consumed > header_bytes_) {
      Limit(result, kHeadersTooLarge, "chunk header or trailers too large");
    }
    return result;
  }

  /** Handles the end of the connection; returns whether it ends the message. */
  bool FinishAtEof() {
    boost::system::error_code error;
    this->put_eof(error);
    return !error && this->is_done();
  }

  // Set when the header is complete.
  std::string method;
  std::string target;
  /** 11 for HTTP/1.1. */
  int version = 11;
  unsigned status = 0;
  /** Names in lower case. */
  http_headers headers;
  bool has_valid_header = false;
  /** Body bytes that were parsed and not yet taken by the owner. */
  std::string body;

 private:
  // A body in chunks of one byte has five bytes of framing for each.
  static constexpr std::uint64_t kFramingPerBodyByte = 16;
  static constexpr std::uint64_t kMinFramingBytes = 16 * 1024;
  // A field takes much more memory than its shortest form has bytes.
  static constexpr std::size_t kMaxResponseFields = 256;
  static constexpr unsigned kMinStatus = 100;
  static constexpr unsigned kMaxStatus = 599;
  static constexpr unsigned kBadRequest = 400;
  static constexpr unsigned kBodyTooLarge = 413;
  static constexpr unsigned kHeadersTooLarge = 431;

  using error_code = boost::system::error_code;
  using view = boost::beast::string_view;

  static void Limit(feed_result& result, unsigned status, const char* error) {
    result.failed = true;
    result.limit_status = status;
    result.error = error;
  }

  static std::string_view View(view text) { return {text.data(), text.size()}; }

  void on_request_impl(boost::beast::http::verb,
                       view method_text,
                       view target_text,
                       int version_number,
                       error_code& error) override {
    error = {};
    version = version_number;
    method = View(method_text);
    target = View(target_text);
  }
  void on_response_impl(int code,
                        view reason,
                        int version_number,
                        error_code& error) override {
    error = {};
    version = version_number;
    status = static_cast<unsigned>(code);
    if (status < kMinStatus || status > kMaxStatus) {
      error = boost::beast::http::error::bad_status;
    } else if (!IsFieldText(View(reason))) {
      error = boost::beast::http::error::bad_reason;
    }
  }
  void on_field_impl(boost::beast::http::field,
                     view name,
                     view value,
                     error_code& error) override {
    error = {};
    if (!IsFieldName(View(name))) {
      error = boost::beast::http::error::bad_field;
    } else if (!IsFieldText(View(value))) {
      error = boost::beast::http::error::bad_value;
    }
    // Trailers aren't used, and must not pass for headers.
    if (!this->is_header_done()) {
      if (!IsRequest && headers.size() >= kMaxResponseFields) {
        error = boost::beast::http::error::header_limit;
        return;
      }
      headers.emplace_back(LowerCase(View(name)), View(value));
    }
  }
  void on_header_impl(error_code& error) override {
    error = {};
    has_valid_header = HasOneFraming(headers, version);
    if (!has_valid_header) {
      error = boost::beast::http::error::bad_content_length;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override {
    error = {};
    if (IsRequest && length) {
      body.reserve(static_cast<std::size_t>(*length));
    }
  }
  std::size_t on_body_impl(view data, error_code& error) override {
    error = {};
    body += View(data);
    body_bytes_ += data.size();
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t, view, error_code& error) override {
    error = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 view data,
                                 error_code& error) override {
    error = {};
    body += View(data);
    body_bytes_ += data.size();
    return data.size();
  }
  void on_finish_impl(error_code& error) override { error = {}; }

  std::size_t header_bytes_;
  std::uint64_t consumed_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
};

using http_request_parser = http_parser<true>;
using http_response_parser = http_parser<false>;

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_PARSER_H_
