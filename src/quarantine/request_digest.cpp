#include "fulmarshelf/detail/quarantine/request_digest.hpp"

#include "fulmarshelf/detail/base/hash.hpp" // contentDigest

#include <charconv> // from_chars

namespace fulmarshelf {

namespace {

constexpr std::size_t HalfDigits = 16;

std::string valueOf(const HttpRequest &Request, std::string_view Name) {
  const std::string *Value = findHeader(Request.Headers_, Name);
  return Value == nullptr ? std::string() : *Value;
}

} // namespace

RequestDigest digestOf(const HttpRequest &Request) {
  // No part but the last can contain a line feed.
  std::string Text = Request.Method_ + "\n" + valueOf(Request, "Host") + "\n" +
                     Request.Target_ + "\n" +
                     valueOf(Request, "Authorization") + "\n" +
                     contentDigest(Request.Body_);
  return parseRequestDigest(contentDigest(Text)).value_or(RequestDigest());
}

std::string toString(const RequestDigest &Digest) {
  return toHex(Digest.High_) + toHex(Digest.Low_);
}

std::optional<RequestDigest> parseRequestDigest(std::string_view Text) {
  RequestDigest Digest;
  if (Text.size() != 2 * HalfDigits)
    return std::nullopt;
  const char *Middle = Text.data() + HalfDigits;
  const char *End = Text.data() + Text.size();
  bool Valid =
      std::from_chars(Text.data(), Middle, Digest.High_, 16).ptr == Middle &&
      std::from_chars(Middle, End, Digest.Low_, 16).ptr == End;
  return Valid ? std::optional<RequestDigest>(Digest) : std::nullopt;
}

} // namespace fulmarshelf
