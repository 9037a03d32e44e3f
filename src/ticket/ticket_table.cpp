#include "fulmarshelf/detail/ticket/ticket_table.hpp"

#include <charconv> // from_chars
#include <utility>  // move

namespace fulmarshelf {

namespace {

constexpr std::uint64_t LifetimeMs = std::uint64_t{10} * 60 * 1000;
constexpr std::size_t MacDigits = 16;
constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;

std::uint64_t clockMs(TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch().count()) / 1000;
}

// The fields that the MAC covers, in text form.
std::string signedPart(const Ticket &Value) {
  return Value.Home_ + "." + std::to_string(Value.Incarnation_) + "." +
         std::to_string(Value.Sequence_) + "." +
         std::to_string(Value.ExpiryMs_);
}

bool parseMac(const std::string &Text, std::uint64_t &Mac) {
  const char *End = Text.data() + Text.size();
  std::from_chars_result Parsed = std::from_chars(Text.data(), End, Mac, 16);
  return Text.size() == MacDigits && Parsed.ec == std::errc() &&
         Parsed.ptr == End;
}

} // namespace

std::string toString(const Ticket &Value) {
  return signedPart(Value) + "." + toHex(Value.Mac_);
}

bool parseTicket(const std::string &Text, Ticket &Result) {
  std::size_t MacDot = Text.rfind('.');
  if (MacDot == std::string::npos)
    return false;
  std::size_t ExpiryDot = Text.rfind('.', MacDot - 1);
  if (MacDot == 0 || ExpiryDot == std::string::npos)
    return false;
  // The fields before the expiry have the text form of an attempt id.
  AttemptId IdPart;
  Ticket Parsed;
  if (!parseAttemptId(Text.substr(0, ExpiryDot), IdPart))
    return false;
  if (!parseNumber(Text.substr(ExpiryDot + 1, MacDot - ExpiryDot - 1),
                   Parsed.ExpiryMs_))
    return false;
  if (!parseMac(Text.substr(MacDot + 1), Parsed.Mac_))
    return false;
  Parsed.Home_ = IdPart.Node_;
  Parsed.Incarnation_ = IdPart.Incarnation_;
  Parsed.Sequence_ = IdPart.Sequence_;
  Result = Parsed;
  return true;
}

TicketTable::TicketTable(std::string Home, Incarnation ProcessIncarnation,
                         const HashKey &Secret)
    : Home_(std::move(Home)), Incarnation_(ProcessIncarnation),
      Secret_(Secret) {}

std::uint64_t TicketTable::macOf(const Ticket &Value) const {
  return keyedHash(Secret_, signedPart(Value));
}

Ticket TicketTable::issue(TimePoint Now) {
  Ticket Issued;
  Issued.Home_ = Home_;
  Issued.Incarnation_ = Incarnation_;
  Issued.Sequence_ = ++LastSequence_;
  Issued.ExpiryMs_ = clockMs(Now) + LifetimeMs;
  Issued.Mac_ = macOf(Issued);
  return Issued;
}

TicketVerdict TicketTable::redeem(TimePoint Now, const Ticket &Presented,
                                  const std::string &Digest,
                                  RequestId Request) {
  bool IssuedHere =
      Presented.Home_ == Home_ && Presented.Incarnation_ == Incarnation_;
  if (!IssuedHere || Presented.Mac_ != macOf(Presented))
    return TicketVerdict::Forged;
  if (Presented.ExpiryMs_ <= clockMs(Now))
    return TicketVerdict::Expired;
  auto Existing = Records_.find(Presented.Sequence_);
  if (Existing == Records_.end()) {
    Records_[Presented.Sequence_] = {Digest, Request, false, false, {}};
    ByExpiry_.emplace(Presented.ExpiryMs_, Presented.Sequence_);
    return TicketVerdict::Start;
  }
  TicketRecord &Record = Existing->second;
  if (Record.Digest_ != Digest)
    return TicketVerdict::Mismatch;
  if (!Record.Finished_)
    return TicketVerdict::Join;
  if (Record.Reply_.Outcome_ != Outcome::NotRun)
    return TicketVerdict::Replay;
  Record = {Digest, Request, false, false, {}};
  return TicketVerdict::Start;
}

const TicketRecord *TicketTable::find(std::uint64_t Sequence) const {
  auto Existing = Records_.find(Sequence);
  return Existing == Records_.end() ? nullptr : &Existing->second;
}

void TicketTable::finish(std::uint64_t Sequence, const CallReply &Reply) {
  auto Existing = Records_.find(Sequence);
  if (Existing == Records_.end())
    return;
  TicketRecord &Record = Existing->second;
  if (!Record.BodyDropped_)
    BodyBytes_ -= Record.Reply_.Response_.Body_.size();
  Record.Finished_ = true;
  Record.BodyDropped_ = false;
  Record.Reply_ = Reply;
  BodyBytes_ += Reply.Response_.Body_.size();
  boundMemory();
}

// The record that a ticket was used is never removed before the ticket expires;
// only the bodies of stored replies are dropped, earliest expiry first.
void TicketTable::boundMemory() {
  for (const std::pair<const std::uint64_t, std::uint64_t> &Entry : ByExpiry_) {
    if (BodyBytes_ <= MaxBodyBytes)
      return;
    TicketRecord &Record = Records_[Entry.second];
    if (!Record.Finished_ || Record.BodyDropped_)
      continue;
    BodyBytes_ -= Record.Reply_.Response_.Body_.size();
    Record.Reply_.Response_.Body_.clear();
    Record.BodyDropped_ = true;
  }
}

void TicketTable::expire(TimePoint Now) {
  while (!ByExpiry_.empty() && ByExpiry_.begin()->first <= clockMs(Now)) {
    auto Expired = Records_.find(ByExpiry_.begin()->second);
    if (!Expired->second.BodyDropped_)
      BodyBytes_ -= Expired->second.Reply_.Response_.Body_.size();
    Records_.erase(Expired);
    ByExpiry_.erase(ByExpiry_.begin());
  }
}

} // namespace fulmarshelf
