#include "platform_client.hpp"

#include "fulmarshelf/detail/base/hash.hpp"                 // toHex
#include "fulmarshelf/detail/settings/settings_version.hpp" // versionOf
#include "fulmarshelf/detail/shell/http_client.hpp"         // fetch

#include <sodium.h> // randombytes_buf

#include <utility> // move

namespace fulmarshelf::cli {

namespace {

constexpr int WriteAttempts = 3;

std::string makeWriteId() {
  std::uint64_t Bits = 0;
  randombytes_buf(&Bits, sizeof(Bits));
  return toHex(Bits);
}

Findings unreachable(const Endpoint &Platform, const std::string &Detail) {
  return {{toString(Platform), 0, ErrorCode::PlatformUnreachable, Detail}};
}

// The store has returned from an older copy between a read and the write that
// rests on it. The revision that the write named may stand for other content
// now, and nodes order the write before those of the present era.
WriteFailed restoredMeanwhile() {
  return {ErrorCode::PlatformRefused,
          "the store returned from an older copy during the change", true};
}

std::string lastAuthor(const SettingsDocument &Document) {
  return Document.Writes_.empty() ? "unknown"
                                  : Document.Writes_.front().Author_;
}

} // namespace

PlatformClient::PlatformClient(const Endpoint &Platform, std::string Author,
                               std::chrono::milliseconds Timeout)
    : Platform_(Platform), Author_(std::move(Author)), Timeout_(Timeout) {}

Checked<StoredSettings>
PlatformClient::read(const std::string &TeamPath) const {
  HttpResult Result =
      fetch(Platform_, getRequest(TeamsKind, teamObject(TeamPath)), Timeout_);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr)
    return unreachable(Platform_, "no answer to a read of " + TeamPath);
  if (Response->Status_ == 404)
    return StoredSettings{false, 0, 0, parseStoreEra(*Response), {}};
  StoreObject Object;
  StoredSettings Stored;
  Stored.Era_ = parseStoreEra(*Response);
  if (Response->Status_ != 200 || !parseObject(Response->Body_, Object))
    return unreachable(
        Platform_, "a read of " + TeamPath +
                       " was answered without a valid object, with status " +
                       std::to_string(Response->Status_));
  Stored.Exists_ = true;
  Stored.Revision_ = Object.Revision_;
  parseDocument(Object.Spec_, Stored.Document_);
  Stored.Version_ = documentVersion(Stored.Document_, Object, Stored.Era_);
  return Stored;
}

// Reads the object back after a rejected write, to find out whether an earlier
// attempt of this write or another write took effect.
WriteResult PlatformClient::resolveWrite(const std::string &TeamPath,
                                         const std::string &WriteId) const {
  Checked<StoredSettings> Current = read(TeamPath);
  if (!Current)
    return WriteFailed{
        ErrorCode::PlatformUnreachable,
        "the write was rejected, and the object could not be read back", true};
  const SettingsDocument &Document = Current.value().Document_;
  for (const WriteMark &Mark : Document.Writes_)
    if (Mark.WriteId_ == WriteId)
      return Document.Era_ == Current.value().Era_.value_or(Document.Era_)
                 ? WriteResult(WriteApplied{Current.value().Version_, true})
                 : restoredMeanwhile();
  return WriteConflict{Current.value().Version_, lastAuthor(Document)};
}

WriteResult PlatformClient::write(const std::string &TeamPath,
                                  const std::string &Text,
                                  std::uint64_t IfVersion) const {
  Checked<StoredSettings> Before = read(TeamPath);
  if (!Before)
    return WriteFailed{ErrorCode::PlatformUnreachable,
                       Before.error().front().Message_, false};
  const StoredSettings &Stored = Before.value();
  if (Stored.Version_ != IfVersion)
    return WriteConflict{Stored.Version_, lastAuthor(Stored.Document_)};
  SettingsDocument Next;
  Next.Text_ = Text;
  Next.Previous_ = Stored.Document_.Text_;
  Next.Era_ = Stored.Era_.value_or(0);
  std::string WriteId = makeWriteId();
  Next.Writes_ = Stored.Document_.Writes_;
  Next.Writes_.insert(Next.Writes_.begin(), {WriteId, Author_});
  if (Next.Writes_.size() > MaxWriteMarks)
    Next.Writes_.resize(MaxWriteMarks);
  std::string Name = teamObject(TeamPath);
  std::string Spec = encodeDocument(Next);
  HttpRequest Request =
      Stored.Exists_ ? replaceRequest(TeamsKind, Name, Spec, Stored.Revision_)
                     : createRequest(TeamsKind, Name, Spec);
  // Repeating is safe: all attempts are conditional on the same version, so at
  // most one of them takes effect.
  for (int Attempt = 0; Attempt < WriteAttempts; ++Attempt) {
    HttpResult Result = fetch(Platform_, Request, Timeout_);
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    StoreObject Written;
    if (Response != nullptr && Response->Status_ / 100 == 2 &&
        parseObject(Response->Body_, Written)) {
      if (parseStoreEra(*Response) != Stored.Era_)
        return restoredMeanwhile();
      return WriteApplied{versionOf({Next.Era_, Written.Revision_}),
                          Attempt > 0};
    }
    // The object has another version, was removed or already exists: another
    // write or an earlier attempt of this write took effect first.
    if (Response != nullptr &&
        (Response->Status_ == 409 || Response->Status_ == 404))
      return resolveWrite(TeamPath, WriteId);
    if (Response != nullptr && Response->Status_ < 500)
      return WriteFailed{ErrorCode::PlatformRefused,
                         "the platform answered the write with status " +
                             std::to_string(Response->Status_),
                         false};
  }
  return WriteFailed{ErrorCode::PlatformUnreachable,
                     "no valid answer to the write in " +
                         std::to_string(WriteAttempts) + " attempts",
                     true};
}

WriteResult PlatformClient::remove(const std::string &TeamPath,
                                   std::uint64_t IfVersion) const {
  Checked<StoredSettings> Before = read(TeamPath);
  if (!Before)
    return WriteFailed{ErrorCode::PlatformUnreachable,
                       Before.error().front().Message_, false};
  const StoredSettings &Stored = Before.value();
  if (Stored.Exists_ && Stored.Version_ != IfVersion)
    return WriteConflict{Stored.Version_, lastAuthor(Stored.Document_)};
  HttpResult Result =
      fetch(Platform_,
            removeRequest(TeamsKind, teamObject(TeamPath), Stored.Revision_),
            Timeout_);
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  StoreObject Removed;
  if (Response != nullptr && Response->Status_ / 100 == 2 &&
      parseObject(Response->Body_, Removed)) {
    if (parseStoreEra(*Response) != Stored.Era_)
      return restoredMeanwhile();
    return WriteApplied{versionOf({Stored.Era_.value_or(0), Removed.Revision_}),
                        false};
  }
  Checked<StoredSettings> Current = read(TeamPath);
  if (!Current)
    return WriteFailed{
        ErrorCode::PlatformUnreachable,
        "no confirmation of the removal, and the object could not be read back",
        true};
  if (!Current.value().Exists_)
    return WriteApplied{0, true};
  return WriteConflict{Current.value().Version_,
                       lastAuthor(Current.value().Document_)};
}

Checked<PlatformClient::ObjectList>
PlatformClient::readObjects(const std::string &Kind) const {
  ObjectList List;
  std::string After;
  while (true) {
    HttpResult Result =
        fetch(Platform_, listRequest(Kind, After, Freshness::Latest), Timeout_);
    const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
    StorePage Page;
    if (Response == nullptr || Response->Status_ != 200 ||
        !parseList(Response->Body_, Page))
      return unreachable(Platform_, "no valid answer to a list of " + Kind);
    List.Era_ = parseStoreEra(*Response);
    List.Objects_.insert(List.Objects_.end(), Page.Objects_.begin(),
                         Page.Objects_.end());
    if (!Page.More_ || Page.Objects_.empty())
      return List;
    After = Page.Objects_.back().Name_;
  }
}

Checked<std::vector<SubtreeVersion>> PlatformClient::readAll() const {
  Checked<ObjectList> List = readObjects(TeamsKind);
  if (!List)
    return List.error();
  std::vector<SubtreeVersion> Result;
  for (const StoreObject &Object : List.value().Objects_) {
    std::string Fault;
    std::optional<SubtreeVersion> Subtree =
        parseSubtree(Collection::Teams, Object, List.value().Era_, Fault);
    if (Subtree)
      Result.push_back(*Subtree);
  }
  return Result;
}

Checked<std::vector<NodeAddresses>> PlatformClient::readNodes() const {
  Checked<ObjectList> List = readObjects(NodesKind);
  if (!List)
    return List.error();
  return parseNodeAddresses(List.value().Objects_);
}

} // namespace fulmarshelf::cli
