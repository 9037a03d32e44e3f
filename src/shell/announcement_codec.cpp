#include "fulmarshelf/detail/shell/announcement_codec.hpp"

#include "fulmarshelf/detail/wire/json_reader.hpp" // parseJson

#include <charconv> // from_chars

namespace fulmarshelf {

namespace {

constexpr unsigned MaxSlots = 100'000;

std::string decodePercentEscapes(const std::string &Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Code = 0;
    bool Escaped = Text[Index] == '%' && Index + 2 < Text.size() &&
                   std::from_chars(Text.data() + Index + 1,
                                   Text.data() + Index + 3, Code, 16)
                           .ptr == Text.data() + Index + 3;
    Result += Escaped ? static_cast<char>(Code) : Text[Index];
    Index += Escaped ? 2 : 0;
  }
  return Result;
}

} // namespace

bool parseAnnouncement(const std::string &Body, Announcement &Result) {
  nlohmann::json Document = parseJson(Body);
  if (!Document.is_object())
    return false;
  try {
    Announcement Parsed;
    Document.at("service").get_to(Parsed.Service_);
    readUnsigned(Document.at("slots"), Parsed.Slots_);
    readUnsigned(Document.at("connections"), Parsed.Connections_);
    Parsed.State_ = Document.value("draining", false) ? BackendState::Draining
                                                      : BackendState::Serving;
    bool Valid = parseEndpoint(Document.at("address").get<std::string>(),
                               Parsed.Address_) &&
                 !Parsed.Service_.empty() && Parsed.Slots_ > 0 &&
                 Parsed.Slots_ <= MaxSlots;
    if (Valid)
      Result = Parsed;
    return Valid;
  } catch (const nlohmann::json::exception &) {
    return false;
  }
}

std::string encodeAnnouncement(const Announcement &Value) {
  return nlohmann::json{{"service", Value.Service_},
                        {"address", toString(Value.Address_)},
                        {"slots", Value.Slots_},
                        {"connections", Value.Connections_},
                        {"draining", Value.State_ == BackendState::Draining}}
      .dump();
}

std::string queryValue(const std::string &Target, const std::string &Name) {
  std::size_t Query = Target.find('?');
  if (Query == std::string::npos)
    return {};
  std::string Prefix = Name + "=";
  std::size_t Position = Query + 1;
  while (Position < Target.size()) {
    std::size_t End = std::min(Target.find('&', Position), Target.size());
    std::string Part = Target.substr(Position, End - Position);
    if (Part.starts_with(Prefix))
      return decodePercentEscapes(Part.substr(Prefix.size()));
    Position = End + 1;
  }
  return {};
}

} // namespace fulmarshelf
