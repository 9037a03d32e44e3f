#include "fulmarshelf/detail/settings/settings_version.hpp"

#include "fulmarshelf/detail/base/ids.hpp" // parseNumber

namespace fulmarshelf {

std::uint64_t versionOf(const StorePosition &Position) {
  return Position.Era_ * MaxStoreRevision + Position.Revision_;
}

StorePosition positionOf(std::uint64_t Version) {
  return {Version / MaxStoreRevision, Version % MaxStoreRevision};
}

std::string formatVersion(std::uint64_t Version) {
  StorePosition Position = positionOf(Version);
  std::string Revision = std::to_string(Position.Revision_);
  return Position.Era_ == 0 ? Revision
                            : std::to_string(Position.Era_) + "." + Revision;
}

std::optional<std::uint64_t> parseVersion(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  StorePosition Position;
  bool HasEra = Dot != std::string::npos;
  bool Valid =
      (!HasEra || parseNumber(Text.substr(0, Dot), Position.Era_)) &&
      parseNumber(HasEra ? Text.substr(Dot + 1) : Text, Position.Revision_) &&
      Position.Era_ <= MaxStoreEra && Position.Revision_ < MaxStoreRevision;
  return Valid ? std::optional<std::uint64_t>(versionOf(Position))
               : std::nullopt;
}

} // namespace fulmarshelf
