#include "fulmarshelf/detail/wire/http.hpp"

#include <algorithm> // equal

namespace fulmarshelf {

namespace {

char lowerAscii(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

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
