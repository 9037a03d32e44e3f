#ifndef FULMARSHELF_SHELL_HTTP1_PARSER_HPP
#define FULMARSHELF_SHELL_HTTP1_PARSER_HPP

#include "fulmarshelf/detail/wire/http.hpp" // Header

#include <utility> // exchange, which Asio's coroutine headers need

#include <boost/beast/core/string.hpp>       // string_view
#include <boost/beast/http/basic_parser.hpp> // basic_parser

#include <cstdint> // uint16_t, uint64_t
#include <string>  // string
#include <vector>  // vector

namespace fulmarshelf {

/// @brief A parsed HTTP/1.1 message with all its fields and its whole body.
struct Http1Message {
  std::string Method_;         ///< of a request
  std::string Target_;         ///< of a request
  std::uint16_t Status_ = 0;   ///< of a response
  int Version_ = 11;           ///< 10 or 11
  std::vector<Header> Fields_; ///< in order of receipt, trailers included
  std::string Body_;
};

/// @brief Incremental parser for one HTTP/1.1 message.
///
/// The caller's limits alone bound the length of a field. The field container
/// of Boost.Beast cannot be used here: it throws for a field above 65,533
/// bytes.
template <bool IsRequest>
class Http1Parser : public boost::beast::http::basic_parser<IsRequest> {
public:
  /// @brief The message so far.
  const Http1Message &message() const { return Message_; }

  /// @brief Moves the message out of the parser, which must be done.
  Http1Message release() { return std::move(Message_); }

private:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  static std::string toString(string_view Text) {
    return {Text.data(), Text.size()};
  }

  std::size_t appendBody(string_view Part) {
    Message_.Body_.append(Part.data(), Part.size());
    return Part.size();
  }

  void on_request_impl(boost::beast::http::verb /*Method*/, string_view Method,
                       string_view Target, int Version,
                       error_code & /*Error*/) override {
    Message_.Method_ = toString(Method);
    Message_.Target_ = toString(Target);
    Message_.Version_ = Version;
  }

  void on_response_impl(int Status, string_view /*Reason*/, int Version,
                        error_code & /*Error*/) override {
    Message_.Status_ = static_cast<std::uint16_t>(Status);
    Message_.Version_ = Version;
  }

  void on_field_impl(boost::beast::http::field /*Name*/, string_view Name,
                     string_view Value, error_code & /*Error*/) override {
    Message_.Fields_.push_back({toString(Name), toString(Value)});
  }

  void on_header_impl(error_code & /*Error*/) override {}

  // No memory is reserved for the announced length, which need not be true.
  void on_body_init_impl(const boost::optional<std::uint64_t> & /*Length*/,
                         error_code & /*Error*/) override {}

  std::size_t on_body_impl(string_view Part, error_code & /*Error*/) override {
    return appendBody(Part);
  }

  void on_chunk_header_impl(std::uint64_t /*Size*/, string_view /*Extensions*/,
                            error_code & /*Error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*Remaining*/, string_view Part,
                                 error_code & /*Error*/) override {
    return appendBody(Part);
  }

  void on_finish_impl(error_code & /*Error*/) override {}

  Http1Message Message_;
};

} // namespace fulmarshelf

#endif
