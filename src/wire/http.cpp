#include "fulmarshelf/detail/wire/http.hpp"

#include <algorithm> // equal, min
#include <charconv>  // from_chars
#include <cmath>     // isfinite

namespace fulmarshelf {

namespace {

char lowerAscii(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

constexpr std::size_t MaxRateLimitBytes = 32;

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return std::equal(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](char A, char B) { return lowerAscii(A) == lowerAscii(B); });
}

const std::string *findHeader(const std::vector<Header> &Headers,
                              std::string_view Name) {
  for (const Header &Field : Headers)
    if (equalsIgnoreCase(Field.Name_, Name))
      return &Field.Value_;
  return nullptr;
}

std::vector<std::string_view> findHeaders(const std::vector<Header> &Headers,
                                          std::string_view Name) {
  std::vector<std::string_view> Values;
  for (const Header &Field : Headers)
    if (equalsIgnoreCase(Field.Name_, Name))
      Values.push_back(Field.Value_);
  return Values;
}

NamedRateLimit parseRateLimit(const std::vector<std::string_view> &Values) {
  NamedRateLimit Smallest;
  for (std::string_view Value : Values) {
    double Rate = 0;
    const char *End = Value.data() + Value.size();
    bool StartsWithDigit = !Value.empty() && isDigit(Value.front());
    std::from_chars_result Parsed =
        std::from_chars(Value.data(), End, Rate, std::chars_format::fixed);
    if (!StartsWithDigit || Value.size() > MaxRateLimitBytes ||
        Parsed.ec != std::errc() || Parsed.ptr != End || !std::isfinite(Rate))
      return MalformedRateLimit{
          "'" + std::string(Value.substr(0, MaxRateLimitBytes)) +
          "' is not a decimal number"};
    const double *Current = std::get_if<double>(&Smallest);
    Smallest = Current == nullptr ? Rate : std::min(*Current, Rate);
  }
  return Smallest;
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string serviceOf(std::string_view Target) {
  std::string_view Path = pathOf(Target);
  if (Path.empty() || Path.front() != '/')
    return {};
  Path.remove_prefix(1);
  return std::string(Path.substr(0, Path.find('/')));
}

std::string routeKeyOf(const HttpRequest &Request) {
  std::string_view Path = pathOf(Request.Target_);
  std::size_t SecondSlash = Path.find('/', 1);
  std::size_t ThirdSlash = SecondSlash == std::string_view::npos
                               ? SecondSlash
                               : Path.find('/', SecondSlash + 1);
  return Request.Method_ + " " + std::string(Path.substr(0, ThirdSlash));
}

} // namespace fulmarshelf
