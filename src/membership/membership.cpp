#include "fulmarshelf/detail/membership/membership.hpp"

#include "fulmarshelf/detail/base/hash.hpp" // stableHash

#include <algorithm> // find, shuffle, sort, min
#include <bit>       // bit_width

namespace fulmarshelf {

namespace {

constexpr Micros Period = millis(1000);
constexpr Micros DirectTimeout = millis(250);
constexpr Micros SuspicionTime = millis(4000);
constexpr Micros DeadMemory = std::chrono::hours(1);
constexpr unsigned DeadPingPeriods = 5;
constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t MaxReports = 6;
constexpr std::size_t SpreadFanout = 4;
// Members of the own failure domain that are told of news besides, from whom
// others there can have it without crossing domains.
constexpr std::size_t NearFanout = 3;
constexpr unsigned BroadcastFactor = 3;

// Members that are gone are forgotten at different times, so they do not count
// in the digest.
std::uint64_t markOf(const Member &Value) {
  if (Value.Status_ == MemberStatus::Dead ||
      Value.Status_ == MemberStatus::Leaving)
    return 0;
  return stableHash(Value.Node_ + "|" + std::to_string(Value.Incarnation_) +
                    "|" + std::to_string(Value.Version_) + "|" +
                    std::string(statusName(Value.Status_)));
}

bool isUsable(const Member &Value) {
  return Value.Status_ == MemberStatus::Alive ||
         Value.Status_ == MemberStatus::Suspect;
}

} // namespace

Membership::Membership(const Member &Self, std::mt19937_64 &Random)
    : Self_(Self), Random_(Random) {
  Digest_ = markOf(Self_);
  SelfBroadcasts_ = broadcastCount();
}

void Membership::setSelf(MemberStatus Status, const std::string &Service) {
  if (Self_.Status_ == Status && Self_.Service_ == Service)
    return;
  Digest_ ^= markOf(Self_);
  Self_.Status_ = Status;
  Self_.Service_ = Service;
  ++Self_.Version_;
  ++Changes_;
  Digest_ ^= markOf(Self_);
  SelfBroadcasts_ = broadcastCount();
}

unsigned Membership::broadcastCount() const {
  return BroadcastFactor *
         static_cast<unsigned>(std::bit_width(Entries_.size() + 1));
}

void Membership::learn(TimePoint Now, const std::vector<Member> &Reports) {
  for (const Member &Report : Reports)
    applyReport(Now, Report);
}

bool Membership::applyReport(TimePoint Now, const Member &Report) {
  if (Report.Node_ == Self_.Node_) {
    refute(Report);
    return false;
  }
  auto Known = Entries_.find(Report.Node_);
  if (Known != Entries_.end() && !supersedes(Report, Known->second.Member_))
    return false;
  store(Now, Report);
  return true;
}

// A report of this node that is not its own word is outbid by a new version.
void Membership::refute(const Member &Report) {
  bool Older = Report.Incarnation_ < Self_.Incarnation_ ||
               (Report.Incarnation_ == Self_.Incarnation_ &&
                Report.Version_ < Self_.Version_);
  if (Older || Report == Self_)
    return;
  Digest_ ^= markOf(Self_);
  // The clock was set back between two lives of this node; the new one must
  // still outbid the old one.
  if (Report.Incarnation_ > Self_.Incarnation_)
    Self_.Incarnation_ = Report.Incarnation_ + 1;
  Self_.Version_ = std::max(Self_.Version_, Report.Version_) + 1;
  Digest_ ^= markOf(Self_);
  SelfBroadcasts_ = broadcastCount();
}

void Membership::store(TimePoint Now, const Member &Report) {
  auto Known = Entries_.find(Report.Node_);
  bool Fresh = Known == Entries_.end();
  if (!Fresh)
    Digest_ ^= markOf(Known->second.Member_);
  Digest_ ^= markOf(Report);
  bool SameStatus = !Fresh && Known->second.Member_.Status_ == Report.Status_ &&
                    Known->second.Member_.Incarnation_ == Report.Incarnation_;
  Entry &Target = Entries_[Report.Node_];
  Target.Member_ = Report;
  if (!SameStatus)
    Target.Since_ = Now;
  Target.Broadcasts_ = broadcastCount();
  ++Changes_;
  Changed_.push_back(Report);
}

void Membership::suspect(TimePoint Now, const std::string &Node) {
  auto Known = Entries_.find(Node);
  if (Known == Entries_.end() || !isUsable(Known->second.Member_) ||
      Known->second.Member_.Status_ == MemberStatus::Suspect)
    return;
  Member Report = Known->second.Member_;
  Report.Status_ = MemberStatus::Suspect;
  store(Now, Report);
}

void Membership::receive(TimePoint Now, const Endpoint &From,
                         const GossipMessage &Message) {
  learn(Now, Message.Members_);
  switch (Message.Kind_) {
  case GossipKind::Ping: {
    GossipMessage Ack;
    Ack.Kind_ = GossipKind::Ack;
    Ack.Sequence_ = Message.Sequence_;
    // A sender that is taken for dead has to hear of it to refute.
    auto Known = Entries_.find(Message.From_);
    if (Known != Entries_.end() &&
        Known->second.Member_.Status_ != MemberStatus::Alive)
      Ack.Members_.push_back(Known->second.Member_);
    send(From, Ack);
    return;
  }
  case GossipKind::Ack: {
    if (Probe_.Open_ && Message.Sequence_ == Probe_.Sequence_)
      Probe_.Open_ = false;
    auto Waiting = IndirectProbes_.find(Message.Sequence_);
    if (Waiting == IndirectProbes_.end())
      return;
    GossipMessage Ack;
    Ack.Kind_ = GossipKind::Ack;
    Ack.Sequence_ = Waiting->second.RequesterSequence_;
    send(Waiting->second.Requester_, Ack);
    IndirectProbes_.erase(Waiting);
    return;
  }
  case GossipKind::PingRequest: {
    GossipMessage Ping;
    Ping.Sequence_ = ++LastSequence_;
    IndirectProbes_[Ping.Sequence_] = {From, Message.Sequence_, Message.Target_,
                                       Now + Period};
    send(Message.TargetPeer_, Ping);
    return;
  }
  case GossipKind::SettingsUpdate:
    return;
  }
}

TimePoint Membership::nextTimer() const {
  if (Probe_.Open_ && !Probe_.Indirect_)
    return std::min(NextPeriod_, Probe_.IndirectAt_);
  return NextPeriod_;
}

void Membership::tick(TimePoint Now) {
  if (Probe_.Open_ && !Probe_.Indirect_ && Now >= Probe_.IndirectAt_)
    requestIndirectProbes(Now);
  if (Now < NextPeriod_)
    return;
  // A process that was paused has missed the answers to its probe; it must
  // not blame the others for that.
  bool Late = Now > NextPeriod_ + Period;
  if (Probe_.Open_ && !Late)
    suspect(Now, Probe_.Target_);
  Probe_.Open_ = false;
  NextPeriod_ = Now + Period;
  expire(Now);
  startProbe(Now);
  if (++Periods_ % DeadPingPeriods == 0)
    probeDeadMember();
}

std::string Membership::nextTarget() {
  while (true) {
    if (Round_.empty()) {
      for (const std::pair<const std::string, Entry> &Item : Entries_)
        if (isUsable(Item.second.Member_))
          Round_.push_back(Item.first);
      std::shuffle(Round_.begin(), Round_.end(), Random_);
      if (Round_.empty())
        return {};
    }
    std::string Node = Round_.back();
    Round_.pop_back();
    auto Known = Entries_.find(Node);
    if (Known != Entries_.end() && isUsable(Known->second.Member_))
      return Node;
  }
}

void Membership::startProbe(TimePoint Now) {
  std::string Node = nextTarget();
  if (Node.empty())
    return;
  Probe_ = {Node,         ++LastSequence_, Now + DirectTimeout,
            Now + Period, false,           true};
  GossipMessage Ping;
  Ping.Sequence_ = Probe_.Sequence_;
  send(Entries_[Node].Member_.Peer_, Ping);
}

void Membership::requestIndirectProbes(TimePoint) {
  Probe_.Indirect_ = true;
  const Member &Target = Entries_[Probe_.Target_].Member_;
  for (const Member &Helper : sample(IndirectProbes + 1)) {
    if (Helper.Node_ == Probe_.Target_)
      continue;
    GossipMessage Request;
    Request.Kind_ = GossipKind::PingRequest;
    Request.Sequence_ = Probe_.Sequence_;
    Request.Target_ = Target.Node_;
    Request.TargetPeer_ = Target.Peer_;
    send(Helper.Peer_, Request);
  }
}

void Membership::expire(TimePoint Now) {
  std::vector<std::string> Forgotten;
  std::vector<Member> Died;
  for (const std::pair<const std::string, Entry> &Item : Entries_) {
    Micros Age = Now - Item.second.Since_;
    MemberStatus Status = Item.second.Member_.Status_;
    if (Status == MemberStatus::Suspect && Age >= SuspicionTime)
      Died.push_back(Item.second.Member_);
    if (Status >= MemberStatus::Leaving && Status != MemberStatus::Suspect &&
        Age >= DeadMemory)
      Forgotten.push_back(Item.first);
  }
  for (Member &Report : Died) {
    Report.Status_ = MemberStatus::Dead;
    store(Now, Report);
  }
  for (const std::string &Node : Forgotten) {
    Digest_ ^= markOf(Entries_[Node].Member_);
    Entries_.erase(Node);
    ++Changes_;
  }
  std::erase_if(
      IndirectProbes_,
      [Now](const std::pair<const std::uint64_t, IndirectProbe> &Item) {
        return Item.second.EndsAt_ <= Now;
      });
}

// Two halves of a parted mesh take each other for dead. Now and then a dead
// member is pinged, so that they find each other again.
void Membership::probeDeadMember() {
  std::vector<Endpoint> Dead;
  for (const std::pair<const std::string, Entry> &Item : Entries_)
    if (Item.second.Member_.Status_ == MemberStatus::Dead)
      Dead.push_back(Item.second.Member_.Peer_);
  if (Dead.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Dead.size() - 1);
  GossipMessage Ping;
  Ping.Sequence_ = ++LastSequence_;
  send(Dead[Pick(Random_)], Ping);
}

void Membership::broadcast(const std::vector<SettingsVersion> &SettingsUpdate) {
  SettingsUpdates_ = SettingsUpdate;
  std::vector<Member> Targets = sample(SpreadFanout);
  for (const Member &Near : sampleSameDomain(NearFanout))
    if (std::find(Targets.begin(), Targets.end(), Near) == Targets.end())
      Targets.push_back(Near);
  for (const Member &Target : Targets) {
    GossipMessage Message;
    Message.Kind_ = GossipKind::SettingsUpdate;
    send(Target.Peer_, Message);
  }
  SettingsUpdates_.clear();
}

void Membership::send(const Endpoint &To, GossipMessage Message) {
  Message.From_ = Self_.Node_;
  Message.SettingsDigest_ = SettingsDigest_;
  Message.MembersDigest_ = Digest_;
  Message.SettingsUpdates_ = SettingsUpdates_;
  attachReports(Message);
  Sends_.push_back({To, std::move(Message)});
}

// The reports that were told least often ride first.
void Membership::attachReports(GossipMessage &Message) {
  if (SelfBroadcasts_ > 0) {
    --SelfBroadcasts_;
    Message.Members_.push_back(Self_);
  }
  std::vector<Entry *> Pending;
  for (std::pair<const std::string, Entry> &Item : Entries_)
    if (Item.second.Broadcasts_ > 0)
      Pending.push_back(&Item.second);
  std::size_t Room = MaxReports - std::min(MaxReports, Message.Members_.size());
  std::size_t Count = std::min(Room, Pending.size());
  std::partial_sort(Pending.begin(),
                    Pending.begin() + static_cast<std::ptrdiff_t>(Count),
                    Pending.end(), [](const Entry *Left, const Entry *Right) {
                      return Left->Broadcasts_ > Right->Broadcasts_;
                    });
  for (std::size_t Index = 0; Index < Count; ++Index) {
    --Pending[Index]->Broadcasts_;
    Message.Members_.push_back(Pending[Index]->Member_);
  }
}

std::vector<Member> Membership::available() const {
  std::vector<Member> Result;
  for (const std::pair<const std::string, Entry> &Item : Entries_)
    if (isUsable(Item.second.Member_))
      Result.push_back(Item.second.Member_);
  return Result;
}

std::vector<Member> Membership::all() const {
  std::vector<Member> Result;
  for (const std::pair<const std::string, Entry> &Item : Entries_)
    Result.push_back(Item.second.Member_);
  return Result;
}

const Member *Membership::find(const std::string &Node) const {
  auto Known = Entries_.find(Node);
  return Known == Entries_.end() ? nullptr : &Known->second.Member_;
}

std::vector<Member> Membership::sample(std::size_t Count) {
  std::vector<Member> Members = available();
  std::shuffle(Members.begin(), Members.end(), Random_);
  Members.resize(std::min(Count, Members.size()));
  return Members;
}

std::vector<Member> Membership::sampleSameDomain(std::size_t Count) {
  std::vector<Member> Members = available();
  std::erase_if(Members, [this](const Member &Other) {
    return Other.FailureDomain_ != Self_.FailureDomain_;
  });
  if (Members.size() <= Count)
    return Members;
  std::shuffle(Members.begin(), Members.end(), Random_);
  Members.resize(Count);
  return Members;
}

std::vector<GossipSend> Membership::takeSends() {
  return std::exchange(Sends_, {});
}

std::vector<Member> Membership::takeChanges() {
  return std::exchange(Changed_, {});
}

} // namespace fulmarshelf
