#include "fulmarshelf/detail/ticket/ticket_table.hpp"

#include <charconv> // from_chars
#include <utility>  // move

namespace fulmarshelf {

namespace {

constexpr std::uint64_t LifetimeMs = std::uint64_t{10} * 60 * 1000;
constexpr std::size_t CheckDigits = 16;
constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;

std::uint64_t clockMs(TimePoint Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch().count()) / 1000;
}

std::string signedPart(const Ticket &Value) {
  return Value.Home_ + "." + std::to_string(Value.Incarnation_) + "." +
         std::to_string(Value.Sequence_) + "." +
         std::to_string(Value.ExpiryMs_);
}

bool parseHex(const std::string &Text, std::uint64_t &Result) {
  const char *End = Text.data() + Text.size();
  std::from_chars_result Parsed = std::from_chars(Text.data(), End, Result, 16);
  return Text.size() == CheckDigits && Parsed.ec == std::errc() &&
         Parsed.ptr == End;
}

} // namespace

std::string toString(const Ticket &Value) {
  return signedPart(Value) + "." + toHex(Value.Mac_);
}

bool parseTicket(const std::string &Text, Ticket &Result) {
  std::size_t CheckDot = Text.rfind('.');
  if (CheckDot == std::string::npos)
    return false;
  std::size_t ExpiryDot = Text.rfind('.', CheckDot - 1);
  if (CheckDot == 0 || ExpiryDot == std::string::npos)
    return false;
  AttemptId Front;
  Ticket Parsed;
  if (!parseAttemptId(Text.substr(0, ExpiryDot), Front))
    return false;
  if (!parseNumber(Text.substr(ExpiryDot + 1, CheckDot - ExpiryDot - 1),
                   Parsed.ExpiryMs_))
    return false;
  if (!parseHex(Text.substr(CheckDot + 1), Parsed.Mac_))
    return false;
  Parsed.Home_ = Front.Node_;
  Parsed.Incarnation_ = Front.Incarnation_;
  Parsed.Sequence_ = Front.Sequence_;
  Result = Parsed;
  return true;
}

TicketTable::TicketTable(std::string Home, Incarnation Life,
                         const HashKey &Secret)
    : Home_(std::move(Home)), Incarnation_(Life), Secret_(Secret) {}

std::uint64_t TicketTable::macOf(const Ticket &Value) const {
  return keyedHash(Secret_, signedPart(Value));
}

Ticket TicketTable::issue(TimePoint Now) {
  Ticket Value;
  Value.Home_ = Home_;
  Value.Incarnation_ = Incarnation_;
  Value.Sequence_ = ++LastSequence_;
  Value.ExpiryMs_ = clockMs(Now) + LifetimeMs;
  Value.Mac_ = macOf(Value);
  return Value;
}

TicketVerdict TicketTable::redeem(TimePoint Now, const Ticket &Value,
                                  const std::string &Digest,
                                  RequestId Request) {
  bool Own = Value.Home_ == Home_ && Value.Incarnation_ == Incarnation_;
  if (!Own || Value.Mac_ != macOf(Value))
    return TicketVerdict::Forged;
  if (Value.ExpiryMs_ <= clockMs(Now))
    return TicketVerdict::Expired;
  auto Found = Records_.find(Value.Sequence_);
  if (Found == Records_.end()) {
    Records_[Value.Sequence_] = {Digest, Request, false, false, {}};
    ByExpiry_.emplace(Value.ExpiryMs_, Value.Sequence_);
    return TicketVerdict::Start;
  }
  TicketRecord &Record = Found->second;
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
  auto Found = Records_.find(Sequence);
  return Found == Records_.end() ? nullptr : &Found->second;
}

void TicketTable::finish(std::uint64_t Sequence, const CallReply &Reply) {
  auto Found = Records_.find(Sequence);
  if (Found == Records_.end())
    return;
  TicketRecord &Record = Found->second;
  if (!Record.BodyDropped_)
    BodyBytes_ -= Record.Reply_.Response_.Body_.size();
  Record.Finished_ = true;
  Record.BodyDropped_ = false;
  Record.Reply_ = Reply;
  BodyBytes_ += Reply.Response_.Body_.size();
  boundMemory();
}

// The fact that a ticket was used is never given up before its expiry, only
// the body of the remembered answer, oldest first.
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
    auto Record = Records_.find(ByExpiry_.begin()->second);
    if (!Record->second.BodyDropped_)
      BodyBytes_ -= Record->second.Reply_.Response_.Body_.size();
    Records_.erase(Record);
    ByExpiry_.erase(ByExpiry_.begin());
  }
}

} // namespace fulmarshelf
