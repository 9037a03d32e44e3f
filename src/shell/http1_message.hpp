#ifndef FULMARSHELF_SHELL_HTTP1_MESSAGE_HPP
#define FULMARSHELF_SHELL_HTTP1_MESSAGE_HPP

#include "fulmarshelf/detail/wire/http.hpp" // Header, equalsIgnoreCase

#include <utility> // exchange, which Asio's coroutine headers need

#include <boost/asio/buffer.hpp>        // buffer
#include <boost/beast/http/error.hpp>   // error
#include <boost/beast/http/rfc7230.hpp> // token_list

#include <algorithm>   // any_of
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

// Conversion between HTTP/1.1 messages and their fields, which both sides of a
// connection share.
namespace fulmarshelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Returns true for fields that are never forwarded, since they apply to one
// connection only or belong to the protocol between nodes.
inline bool isNeverForwarded(std::string_view Name) {
  for (std::string_view HopByHopField :
       {"connection", "keep-alive", "transfer-encoding", "content-length",
        "upgrade", "te", "trailer", "proxy-connection"})
    if (equalsIgnoreCase(Name, HopByHopField))
      return true;
  // Fields of the protocol between nodes are not accepted from outside callers.
  return Name.size() >= 3 && equalsIgnoreCase(Name.substr(0, 3), "fs-");
}

// The Connection fields list further fields that apply to one connection.
inline bool isNamedByConnection(const std::vector<std::string_view> &Connection,
                                const std::string &Name) {
  return std::any_of(
      Connection.begin(), Connection.end(), [&Name](std::string_view Value) {
        return http::token_list({Value.data(), Value.size()}).exists(Name);
      });
}

// Returns the fields that are forwarded with a message.
inline std::vector<Header> forwardedFields(const std::vector<Header> &Fields) {
  std::vector<std::string_view> Connection = findHeaders(Fields, "Connection");
  std::vector<Header> Result;
  for (const Header &Field : Fields)
    if (!isNeverForwarded(Field.Name_) &&
        !isNamedByConnection(Connection, Field.Name_))
      Result.push_back(Field);
  return Result;
}

inline void appendField(std::string &Head, std::string_view Name,
                        std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

inline void appendFields(std::string &Head, const std::vector<Header> &Fields) {
  for (const Header &Field : Fields)
    if (!isNeverForwarded(Field.Name_))
      appendField(Head, Field.Name_, Field.Value_);
}

// Parses received bytes up to the end of the message and removes them from the
// input. What the limits permit does not depend on how the bytes arrived.
// HeadBytesLeft is the limit of the head less its bytes that were parsed;
// MaxPartBytes limits a chunk header or the trailers.
template <typename Parser>
error_code parseInput(Parser &Target, std::string &Input,
                      std::uint32_t &HeadBytesLeft,
                      std::uint32_t MaxPartBytes) {
  error_code Error;
  std::size_t Consumed = 1;
  while (!Error && Consumed > 0 && !Input.empty() && !Target.is_done()) {
    bool HeadDone = Target.is_header_done();
    // One call parses the head only, so that its bytes can be counted.
    Target.eager(HeadDone);
    Target.header_limit(HeadBytesLeft);
    // The parser takes a chunk header or trailers only when they are complete
    // and sets no limit on their size; longer ones stay in the input.
    std::size_t MaxBytes = HeadDone ? MaxPartBytes : Input.size();
    Consumed = Target.put(asio::buffer(Input, MaxBytes), Error);
    Input.erase(0, Consumed);
    if (Error == http::error::need_more)
      Error = {};
    if (HeadDone)
      continue;
    if (Consumed > HeadBytesLeft)
      Error = http::error::header_limit;
    else
      HeadBytesLeft -= static_cast<std::uint32_t>(Consumed);
  }
  return Error;
}

} // namespace fulmarshelf

#endif
