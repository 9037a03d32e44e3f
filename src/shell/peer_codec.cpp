#include "fulmarshelf/detail/shell/peer_codec.hpp"

#include <algorithm> // min, transform
#include <charconv>  // from_chars

namespace fulmarshelf {

namespace {

constexpr std::string_view ProtocolPrefix = "fs-";
constexpr std::uint64_t WeightScale = 1000; // weights are sent in thousandths
// One hour in microseconds, since most optional numbers are times.
constexpr std::uint64_t MaxOptionalNumber = std::uint64_t{3'600} * 1'000'000;

// Encodes each importance's share as two hexadecimal digits.
std::string encodeShares(const AdmittedShares &Shares) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (std::uint8_t Share : Shares) {
    Text += Digits[Share >> 4];
    Text += Digits[Share & 15];
  }
  return Text;
}

// Leaves the shares unchanged when the text is malformed.
void decodeShares(const std::string &Text, AdmittedShares &Result) {
  AdmittedShares Parsed{};
  if (Text.size() != 2 * Parsed.size())
    return;
  for (std::size_t Importance = 0; Importance < Parsed.size(); ++Importance) {
    const char *Start = Text.data() + 2 * Importance;
    if (std::from_chars(Start, Start + 2, Parsed[Importance], 16).ptr !=
        Start + 2)
      return;
  }
  Result = Parsed;
}

std::string toLowerCase(const std::string &Name) {
  std::string Result = Name;
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Result;
}

bool isProtocolField(const std::string &Name) {
  return Name.starts_with(ProtocolPrefix) || Name.starts_with(":");
}

void add(PeerMessage &To, const char *Name, std::string Value) {
  To.Headers_.push_back({Name, std::move(Value)});
}

void add(PeerMessage &To, const char *Name, std::uint64_t Value) {
  add(To, Name, std::to_string(Value));
}

void add(PeerMessage &To, const char *Name, Micros Value) {
  add(To, Name,
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value.count())));
}

void addApplicationFields(PeerMessage &To, const std::vector<Header> &Headers) {
  for (const Header &Field : Headers) {
    std::string Name = toLowerCase(Field.Name_);
    if (!isProtocolField(Name))
      To.Headers_.push_back({Name, Field.Value_});
  }
}

std::vector<Header> applicationFields(const PeerMessage &From) {
  std::vector<Header> Result;
  for (const Header &Field : From.Headers_)
    if (!isProtocolField(Field.Name_))
      Result.push_back(Field);
  return Result;
}

PeerMessage makeRequest(const char *Kind, const std::string &Method,
                        const std::string &Target) {
  PeerMessage Message;
  add(Message, ":method", Method);
  add(Message, ":scheme", std::string("http"));
  add(Message, ":authority", std::string("fulmarshelf"));
  add(Message, ":path", Target);
  add(Message, "fs-kind", std::string(Kind));
  return Message;
}

PeerMessage makeResponse(std::uint64_t Status) {
  PeerMessage Message;
  add(Message, ":status", Status);
  return Message;
}

// Parses fields and records whether all required ones are present and well
// formed.
class FieldReader {
public:
  explicit FieldReader(const PeerMessage &Source) : Source_(Source) {}

  std::string text(std::string_view Name) {
    const std::string *Value = findHeader(Source_.Headers_, Name);
    Valid_ = Valid_ && Value != nullptr;
    return Value == nullptr ? std::string() : *Value;
  }

  std::uint64_t number(std::string_view Name) {
    std::uint64_t Value = 0;
    Valid_ = parseNumber(text(Name), Value) && Valid_;
    return Value;
  }

  std::uint32_t number32(std::string_view Name) {
    std::uint64_t Value = number(Name);
    Valid_ = Valid_ && Value <= UINT32_MAX;
    return static_cast<std::uint32_t>(Value);
  }

  Micros micros(std::string_view Name) {
    std::uint64_t Value = number(Name);
    constexpr std::uint64_t MaxMicros = std::uint64_t{3'600} * 1'000'000;
    Valid_ = Valid_ && Value <= MaxMicros;
    return Micros(static_cast<Micros::rep>(std::min(Value, MaxMicros)));
  }

  bool flag(std::string_view Name) { return number(Name) != 0; }

  AttemptId attempt(std::string_view Name) {
    AttemptId Value;
    Valid_ = parseAttemptId(text(Name), Value) && Valid_;
    return Value;
  }

  std::uint64_t optionalNumber(std::string_view Name,
                               std::uint64_t Default) const {
    std::uint64_t Value = Default;
    std::string Text = optionalText(Name);
    return !Text.empty() && parseNumber(Text, Value) &&
                   Value <= MaxOptionalNumber
               ? Value
               : Default;
  }

  double weight(std::string_view Name) const {
    return static_cast<double>(optionalNumber(Name, WeightScale)) / WeightScale;
  }

  std::string optionalText(std::string_view Name) const {
    const std::string *Value = findHeader(Source_.Headers_, Name);
    return Value == nullptr ? std::string() : *Value;
  }

  bool isValid() const { return Valid_; }

private:
  const PeerMessage &Source_;
  bool Valid_ = true;
};

CallMessage readCall(FieldReader &Fields, const PeerMessage &Message) {
  CallMessage Result;
  Result.Attempt_ = Fields.attempt("fs-attempt");
  Result.Link_ = Fields.number("fs-link");
  Result.ToIncarnation_ = Fields.number("fs-to");
  Result.Context_.Root_ = Fields.text("fs-root");
  Result.Context_.Caller_ = Fields.optionalText("fs-caller");
  Result.Context_.Route_ = Fields.optionalText("fs-route");
  Result.Context_.CallerRequestId_ = Fields.optionalText("fs-id");
  Result.Context_.Tenant_ = Fields.optionalText("fs-tenant");
  Result.Context_.Rank_ = Fields.number32("fs-rank");
  Result.Context_.Depth_ = Fields.number32("fs-depth");
  Result.Context_.Tokens_ = Fields.number32("fs-tokens");
  Result.Context_.TimeLeft_ = Fields.micros("fs-budget");
  Result.Context_.Idempotent_ = Fields.flag("fs-idempotent");
  Result.Context_.DemandWeight_ = Fields.weight("fs-weight");
  Result.Context_.PlacementWeight_ = Fields.weight("fs-place-weight");
  Result.Context_.InRootDomain_ = Fields.optionalNumber("fs-far", 0) == 0;
  Result.Context_.Repeat_ = Fields.optionalNumber("fs-repeat", 0) != 0;
  Result.Context_.Suspect_ = Fields.optionalNumber("fs-suspect", 0) != 0;
  Result.Ticket_ = Fields.optionalText("fs-ticket");
  Result.Request_ = {Fields.text(":method"), Fields.text(":path"),
                     applicationFields(Message), Message.Body_};
  return Result;
}

} // namespace

PeerMessage toPeer(const HelloMessage &Message) {
  PeerMessage Result = makeRequest("hello", "POST", "/");
  add(Result, "fs-node", Message.Node_);
  add(Result, "fs-incarnation", Message.Incarnation_);
  return Result;
}

PeerMessage helloReply(const HelloMessage &Self) {
  PeerMessage Result = makeResponse(200);
  add(Result, "fs-node", Self.Node_);
  add(Result, "fs-incarnation", Self.Incarnation_);
  return Result;
}

PeerMessage malformedReply() { return makeResponse(400); }

PeerMessage toPeer(const CallMessage &Message) {
  const CallContext &Context = Message.Context_;
  PeerMessage Result =
      makeRequest("call", Message.Request_.Method_, Message.Request_.Target_);
  add(Result, "fs-attempt", toString(Message.Attempt_));
  add(Result, "fs-link", Message.Link_);
  add(Result, "fs-to", Message.ToIncarnation_);
  add(Result, "fs-root", Context.Root_);
  if (!Context.Caller_.empty())
    add(Result, "fs-caller", Context.Caller_);
  if (!Context.Route_.empty())
    add(Result, "fs-route", Context.Route_);
  if (!Context.CallerRequestId_.empty())
    add(Result, "fs-id", Context.CallerRequestId_);
  if (!Context.Tenant_.empty())
    add(Result, "fs-tenant", Context.Tenant_);
  add(Result, "fs-rank", std::uint64_t{Context.Rank_});
  add(Result, "fs-depth", std::uint64_t{Context.Depth_});
  add(Result, "fs-tokens", std::uint64_t{Context.Tokens_});
  add(Result, "fs-budget", Context.TimeLeft_);
  add(Result, "fs-idempotent", std::uint64_t{Context.Idempotent_ ? 1U : 0U});
  auto DemandWeight =
      static_cast<std::uint64_t>(Context.DemandWeight_ * WeightScale);
  if (DemandWeight != WeightScale)
    add(Result, "fs-weight", DemandWeight);
  auto PlacementWeight =
      static_cast<std::uint64_t>(Context.PlacementWeight_ * WeightScale);
  if (PlacementWeight != WeightScale)
    add(Result, "fs-place-weight", PlacementWeight);
  if (!Context.InRootDomain_)
    add(Result, "fs-far", std::uint64_t{1});
  if (Context.Repeat_)
    add(Result, "fs-repeat", std::uint64_t{1});
  if (Context.Suspect_)
    add(Result, "fs-suspect", std::uint64_t{1});
  if (!Message.Ticket_.empty())
    add(Result, "fs-ticket", Message.Ticket_);
  addApplicationFields(Result, Message.Request_.Headers_);
  Result.Body_ = Message.Request_.Body_;
  return Result;
}

PeerMessage toPeer(const RevokeMessage &Message) {
  PeerMessage Result = makeRequest("revoke", "POST", "/");
  add(Result, "fs-attempt", toString(Message.Attempt_));
  add(Result, "fs-link", Message.Link_);
  add(Result, "fs-to", Message.ToIncarnation_);
  return Result;
}

PeerMessage toPeer(const SyncMessage &Message) {
  PeerMessage Result = makeRequest("sync", "POST", "/");
  Result.Body_ = encode(Message);
  return Result;
}

PeerMessage toPeer(const CallReply &Reply) {
  bool Complete = Reply.Outcome_ == Outcome::Complete;
  PeerMessage Result = makeResponse(Complete ? Reply.Response_.Status_ : 503);
  add(Result, "fs-outcome", std::string(outcomeName(Reply.Outcome_)));
  add(Result, "fs-error", std::string(errorName(Reply.Error_)));
  add(Result, "fs-tokens", std::uint64_t{Reply.TokensLeft_});
  add(Result, "fs-retry-after", Reply.RetryAfter_);
  add(Result, "fs-replayed", std::uint64_t{Reply.Replayed_ ? 1U : 0U});
  add(Result, "fs-level", std::uint64_t{Reply.Load_.Level_});
  add(Result, "fs-in-flight", std::uint64_t{Reply.Load_.InFlight_});
  add(Result, "fs-queued", std::uint64_t{Reply.Load_.Queued_});
  add(Result, "fs-limit", std::uint64_t{Reply.Load_.Limit_});
  add(Result, "fs-leaving", std::uint64_t{Reply.Load_.Leaving_ ? 1U : 0U});
  if (Reply.ServiceTime_.count() > 0)
    add(Result, "fs-service", Reply.ServiceTime_);
  if (Reply.Load_.QueueDelay_.count() > 0)
    add(Result, "fs-wait", Reply.Load_.QueueDelay_);
  if (Reply.Load_.RouteOrigin_ != RouteOrigin::Undecided)
    add(Result, "fs-origin", std::string(originName(Reply.Load_.RouteOrigin_)));
  if (Reply.Load_.FailureShare_ > 0)
    add(Result, "fs-failing", std::uint64_t{Reply.Load_.FailureShare_});
  const OwnerShares &Shares = Reply.Load_.Shares_;
  if (Shares.Admitted_ != FullShares)
    add(Result, "fs-admitted", encodeShares(Shares.Admitted_));
  if (Shares.Local_ != FullShares)
    add(Result, "fs-kept", encodeShares(Shares.Local_));
  if (Shares.Remote_ != FullShares)
    add(Result, "fs-foreign", encodeShares(Shares.Remote_));
  if (Complete) {
    addApplicationFields(Result, Reply.Response_.Headers_);
    Result.Body_ = Reply.Response_.Body_;
  }
  return Result;
}

PeerMessage toPeer(const RevokeReply &Reply) {
  bool Finished = Reply.Result_ == RevokeResult::Finished;
  PeerMessage Result = Finished ? toPeer(Reply.Reply_) : makeResponse(200);
  add(Result, "fs-result", std::uint64_t{static_cast<unsigned>(Reply.Result_)});
  return Result;
}

PeerMessage toPeer(const SyncReply &Reply) {
  PeerMessage Result = makeResponse(200);
  Result.Body_ = encode(Reply);
  return Result;
}

PeerRequest parsePeerRequest(const PeerMessage &Message) {
  FieldReader Fields(Message);
  std::string Kind = Fields.text("fs-kind");
  if (Kind == "hello") {
    HelloMessage Result{Fields.text("fs-node"),
                        Fields.number("fs-incarnation")};
    if (Fields.isValid())
      return Result;
  }
  if (Kind == "call") {
    CallMessage Result = readCall(Fields, Message);
    if (Fields.isValid())
      return Result;
  }
  if (Kind == "revoke") {
    RevokeMessage Result{Fields.attempt("fs-attempt"), Fields.number("fs-link"),
                         Fields.number("fs-to")};
    if (Fields.isValid())
      return Result;
  }
  SyncMessage Sync;
  if (Kind == "sync" && decode(Message.Body_, Sync))
    return Sync;
  return MalformedMessage{};
}

bool parseReply(const PeerMessage &Message, HelloMessage &Result) {
  FieldReader Fields(Message);
  Result = {Fields.text("fs-node"), Fields.number("fs-incarnation")};
  return Fields.isValid();
}

bool parseReply(const PeerMessage &Message, CallReply &Result) {
  FieldReader Fields(Message);
  if (!parseOutcome(Fields.text("fs-outcome"), Result.Outcome_) ||
      !parseErrorName(Fields.text("fs-error"), Result.Error_))
    return false;
  Result.TokensLeft_ = Fields.number32("fs-tokens");
  Result.RetryAfter_ = Fields.micros("fs-retry-after");
  Result.Replayed_ = Fields.flag("fs-replayed");
  Result.Load_ = {Fields.number32("fs-level"),
                  Fields.number32("fs-in-flight"),
                  Fields.number32("fs-queued"),
                  Fields.number32("fs-limit"),
                  Fields.flag("fs-leaving"),
                  Micros(0),
                  0,
                  {}};
  Result.ServiceTime_ =
      Micros(static_cast<Micros::rep>(Fields.optionalNumber("fs-service", 0)));
  Result.Load_.QueueDelay_ =
      Micros(static_cast<Micros::rep>(Fields.optionalNumber("fs-wait", 0)));
  Result.Load_.RouteOrigin_ = parseOrigin(Fields.optionalText("fs-origin"));
  Result.Load_.FailureShare_ =
      static_cast<std::uint8_t>(std::min<std::uint64_t>(
          Fields.optionalNumber("fs-failing", 0), FullShare));
  decodeShares(Fields.optionalText("fs-admitted"),
               Result.Load_.Shares_.Admitted_);
  decodeShares(Fields.optionalText("fs-kept"), Result.Load_.Shares_.Local_);
  decodeShares(Fields.optionalText("fs-foreign"), Result.Load_.Shares_.Remote_);
  std::uint64_t Status = Fields.number(":status");
  if (Result.Outcome_ == Outcome::Complete)
    Result.Response_ = {static_cast<std::uint16_t>(Status),
                        applicationFields(Message), Message.Body_};
  return Fields.isValid() && Status >= 100 && Status <= 999;
}

bool parseReply(const PeerMessage &Message, RevokeReply &Result) {
  FieldReader Fields(Message);
  std::uint64_t Value = Fields.number("fs-result");
  if (!Fields.isValid() || Value > static_cast<unsigned>(RevokeResult::Unknown))
    return false;
  Result.Result_ = static_cast<RevokeResult>(Value);
  return Result.Result_ != RevokeResult::Finished ||
         parseReply(Message, Result.Reply_);
}

bool parseReply(const PeerMessage &Message, SyncReply &Result) {
  return decode(Message.Body_, Result);
}

} // namespace fulmarshelf
