#include "fulmarshelf/detail/membership/membership.hpp"

#include "fulmarshelf/detail/base/hash.hpp" // stableHash

#include <algorithm> // count_if, find, max, min, partial_sort, shuffle
#include <bit>       // bit_width

namespace fulmarshelf {

namespace {

constexpr Micros ProbePeriod = millis(1000);
constexpr Micros DirectTimeout = millis(250);
constexpr Micros SuspicionTime = millis(4000);
constexpr Micros DeadRetention = std::chrono::hours(1);
constexpr unsigned DeadProbePeriods = 5;
constexpr std::size_t IndirectProbeCount = 3;
constexpr std::size_t MaxReportsPerMessage = 6;
// A datagram holds less than 64 KiB, and the names in a report any number.
constexpr std::size_t MaxReportBytesPerMessage = std::size_t{32} * 1024;
constexpr std::size_t BroadcastFanout = 4;
// Number of members of the local failure domain that settings updates are sent
// to in addition to BroadcastFanout random members. Other members of the domain
// can fetch the updates from them without traffic between domains.
constexpr std::size_t SameDomainFanout = 3;
// A report is carried by this many datagrams per bit of the number of nodes.
constexpr unsigned BroadcastFactor = 3;

// Nodes remove dead and leaving members at different times, so these members
// are not part of the digest.
std::uint64_t memberDigest(const Member &Report) {
  if (Report.Status_ == MemberStatus::Dead ||
      Report.Status_ == MemberStatus::Leaving)
    return 0;
  return stableHash(Report.Node_ + "|" + std::to_string(Report.Incarnation_) +
                    "|" + std::to_string(Report.Version_) + "|" +
                    std::string(statusName(Report.Status_)));
}

std::size_t bytesOf(const Member &Report) {
  std::size_t Bytes = Report.Node_.size() + Report.Region_.size() +
                      Report.FailureDomain_.size() + Report.Service_.size();
  for (const Departure &Entry : Report.Departures_)
    Bytes += Entry.Instance_.size();
  return Bytes;
}

bool isAvailable(const Member &Report) {
  return Report.Status_ == MemberStatus::Alive ||
         Report.Status_ == MemberStatus::Suspect;
}

} // namespace

Membership::Membership(const Member &Self, std::mt19937_64 &Random)
    : Self_(Self), Random_(Random) {
  Digest_ = memberDigest(Self_);
  RemainingSelfBroadcasts_ = broadcastCount();
}

void Membership::setSelf(MemberStatus Status, const std::string &Service) {
  if (Self_.Status_ == Status && Self_.Service_ == Service)
    return;
  Digest_ ^= memberDigest(Self_);
  Self_.Status_ = Status;
  Self_.Service_ = Service;
  ++Self_.Version_;
  ++Changes_;
  Digest_ ^= memberDigest(Self_);
  RemainingSelfBroadcasts_ = broadcastCount();
}

void Membership::addDeparture(const Departure &Added) {
  mergeOwnDepartures({Added});
}

void Membership::learnOwnDepartures(const std::vector<Departure> &Earlier) {
  if (mergeOwnDepartures(Earlier))
    DeparturesLearned_ = true;
}

void Membership::learnDepartures(
    const std::map<std::string, std::vector<Departure>> &Stored) {
  StoredDepartures_.clear();
  for (const std::pair<const std::string, std::vector<Departure>> &Listed :
       Stored) {
    auto Existing = Entries_.find(Listed.first);
    if (Listed.first == Self_.Node_)
      learnOwnDepartures(Listed.second);
    else if (Existing == Entries_.end())
      StoredDepartures_.insert(Listed);
    else if (mergeDepartures(Existing->second.Member_.Departures_,
                             Listed.second))
      Existing->second.RemainingBroadcasts_ = broadcastCount();
  }
}

bool Membership::takeDeparturesLearned() {
  return std::exchange(DeparturesLearned_, false);
}

bool Membership::mergeOwnDepartures(const std::vector<Departure> &Added) {
  if (!mergeDepartures(Self_.Departures_, Added))
    return false;
  Digest_ ^= memberDigest(Self_);
  ++Self_.Version_;
  ++Changes_;
  Digest_ ^= memberDigest(Self_);
  RemainingSelfBroadcasts_ = broadcastCount();
  return true;
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
  auto Existing = Entries_.find(Report.Node_);
  if (Existing != Entries_.end() &&
      !supersedes(Report, Existing->second.Member_)) {
    if (mergeDepartures(Existing->second.Member_.Departures_,
                        Report.Departures_))
      Existing->second.RemainingBroadcasts_ = broadcastCount();
    return false;
  }
  store(Now, Report);
  return true;
}

// Raises this node's version to supersede a report about this node that this
// node did not issue.
void Membership::refute(const Member &Report) {
  learnOwnDepartures(Report.Departures_);
  bool IsOlder = Report.Incarnation_ < Self_.Incarnation_ ||
                 (Report.Incarnation_ == Self_.Incarnation_ &&
                  Report.Version_ < Self_.Version_);
  if (IsOlder || Report == Self_)
    return;
  Digest_ ^= memberDigest(Self_);
  // A larger incarnation in the report means that the clock was set back
  // between two incarnations of this node. The new one must still supersede the
  // old one.
  if (Report.Incarnation_ > Self_.Incarnation_)
    Self_.Incarnation_ = Report.Incarnation_ + 1;
  Self_.Version_ = std::max(Self_.Version_, Report.Version_) + 1;
  Digest_ ^= memberDigest(Self_);
  RemainingSelfBroadcasts_ = broadcastCount();
}

void Membership::store(TimePoint Now, const Member &Report) {
  auto Existing = Entries_.find(Report.Node_);
  bool IsNew = Existing == Entries_.end();
  if (!IsNew)
    Digest_ ^= memberDigest(Existing->second.Member_);
  Digest_ ^= memberDigest(Report);
  bool SameStatus =
      !IsNew && Existing->second.Member_.Status_ == Report.Status_ &&
      Existing->second.Member_.Incarnation_ == Report.Incarnation_;
  Entry &Updated = Entries_[Report.Node_];
  std::vector<Departure> Known = std::move(Updated.Member_.Departures_);
  Updated.Member_ = Report;
  mergeDepartures(Updated.Member_.Departures_, Known);
  auto Stored = StoredDepartures_.find(Report.Node_);
  if (Stored != StoredDepartures_.end()) {
    mergeDepartures(Updated.Member_.Departures_, Stored->second);
    StoredDepartures_.erase(Stored);
  }
  if (!SameStatus)
    Updated.StatusSince_ = Now;
  Updated.RemainingBroadcasts_ = broadcastCount();
  ++Changes_;
  ChangedMembers_.push_back(Report);
}

void Membership::suspect(TimePoint Now, const std::string &Node) {
  auto Existing = Entries_.find(Node);
  if (Existing == Entries_.end() || !isAvailable(Existing->second.Member_) ||
      Existing->second.Member_.Status_ == MemberStatus::Suspect)
    return;
  Member Report = Existing->second.Member_;
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
    // A sender that is not considered alive can refute that report only after
    // receiving it.
    auto Existing = Entries_.find(Message.From_);
    if (Existing != Entries_.end() &&
        Existing->second.Member_.Status_ != MemberStatus::Alive)
      Ack.Members_.push_back(Existing->second.Member_);
    send(From, Ack);
    return;
  }
  case GossipKind::Ack: {
    if (Probe_.Pending_ && Message.Sequence_ == Probe_.Sequence_)
      Probe_.Pending_ = false;
    auto Indirect = IndirectProbes_.find(Message.Sequence_);
    if (Indirect == IndirectProbes_.end())
      return;
    GossipMessage Ack;
    Ack.Kind_ = GossipKind::Ack;
    Ack.Sequence_ = Indirect->second.RequesterSequence_;
    send(Indirect->second.Requester_, Ack);
    IndirectProbes_.erase(Indirect);
    return;
  }
  case GossipKind::PingRequest: {
    GossipMessage Ping;
    Ping.Sequence_ = ++LastSequence_;
    IndirectProbes_[Ping.Sequence_] = {From, Message.Sequence_, Message.Target_,
                                       Now + ProbePeriod};
    send(Message.TargetPeer_, Ping);
    return;
  }
  case GossipKind::SettingsUpdate:
  case GossipKind::Quarantine:
  case GossipKind::StoreEvidence:
    return;
  }
}

TimePoint Membership::nextTimer() const {
  if (Probe_.Pending_ && !Probe_.Indirect_)
    return std::min(NextPeriod_, Probe_.IndirectAt_);
  return NextPeriod_;
}

void Membership::tick(TimePoint Now) {
  if (Probe_.Pending_ && !Probe_.Indirect_ && Now >= Probe_.IndirectAt_)
    requestIndirectProbes(Now);
  if (Now < NextPeriod_)
    return;
  // A process that was paused has missed the answer to its probe, so it must
  // not suspect the probed member.
  bool IsLate = Now > NextPeriod_ + ProbePeriod;
  if (Probe_.Pending_ && !IsLate)
    suspect(Now, Probe_.Target_);
  Probe_.Pending_ = false;
  NextPeriod_ = Now + ProbePeriod;
  expire(Now);
  startProbe(Now);
  if (++PeriodCount_ % DeadProbePeriods == 0)
    probeDeadMember();
}

std::string Membership::nextTarget() {
  while (true) {
    if (ProbeOrder_.empty()) {
      for (const std::pair<const std::string, Entry> &NodeEntry : Entries_)
        if (isAvailable(NodeEntry.second.Member_))
          ProbeOrder_.push_back(NodeEntry.first);
      std::shuffle(ProbeOrder_.begin(), ProbeOrder_.end(), Random_);
      if (ProbeOrder_.empty())
        return {};
    }
    std::string Node = ProbeOrder_.back();
    ProbeOrder_.pop_back();
    auto Existing = Entries_.find(Node);
    if (Existing != Entries_.end() && isAvailable(Existing->second.Member_))
      return Node;
  }
}

void Membership::startProbe(TimePoint Now) {
  std::string Node = nextTarget();
  if (Node.empty())
    return;
  Probe_ = {
      Node, ++LastSequence_, Now + DirectTimeout, Now + ProbePeriod, false,
      true};
  GossipMessage Ping;
  Ping.Sequence_ = Probe_.Sequence_;
  send(Entries_[Node].Member_.Peer_, Ping);
}

void Membership::requestIndirectProbes(TimePoint) {
  Probe_.Indirect_ = true;
  const Member &Target = Entries_[Probe_.Target_].Member_;
  // One member more than needed, because the sample may contain the target. If
  // it does not, all of them are asked.
  for (const Member &Helper : sample(IndirectProbeCount + 1)) {
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
  std::vector<std::string> Expired;
  std::vector<Member> NewlyDead;
  for (const std::pair<const std::string, Entry> &NodeEntry : Entries_) {
    Micros Age = Now - NodeEntry.second.StatusSince_;
    MemberStatus Status = NodeEntry.second.Member_.Status_;
    if (Status == MemberStatus::Suspect && Age >= SuspicionTime)
      NewlyDead.push_back(NodeEntry.second.Member_);
    if (Status >= MemberStatus::Leaving && Status != MemberStatus::Suspect &&
        Age >= DeadRetention)
      Expired.push_back(NodeEntry.first);
  }
  for (Member &Report : NewlyDead) {
    Report.Status_ = MemberStatus::Dead;
    store(Now, Report);
  }
  for (const std::string &Node : Expired) {
    Digest_ ^= memberDigest(Entries_[Node].Member_);
    Entries_.erase(Node);
    ++Changes_;
  }
  std::erase_if(
      IndirectProbes_,
      [Now](const std::pair<const std::uint64_t, IndirectProbe> &ProbeEntry) {
        return ProbeEntry.second.ExpiresAt_ <= Now;
      });
}

// The two halves of a partitioned mesh consider each other dead. A dead member
// is pinged periodically, so that the halves rejoin.
void Membership::probeDeadMember() {
  std::vector<Endpoint> Dead;
  for (const std::pair<const std::string, Entry> &NodeEntry : Entries_)
    if (NodeEntry.second.Member_.Status_ == MemberStatus::Dead)
      Dead.push_back(NodeEntry.second.Member_.Peer_);
  if (Dead.empty())
    return;
  std::uniform_int_distribution<std::size_t> DeadIndex(0, Dead.size() - 1);
  GossipMessage Ping;
  Ping.Sequence_ = ++LastSequence_;
  send(Dead[DeadIndex(Random_)], Ping);
}

std::vector<Member> Membership::broadcastTargets() {
  std::vector<Member> Targets = sample(BroadcastFanout);
  for (const Member &Neighbour : sampleSameDomain(SameDomainFanout))
    if (std::find(Targets.begin(), Targets.end(), Neighbour) == Targets.end())
      Targets.push_back(Neighbour);
  return Targets;
}

void Membership::broadcast(const std::vector<SettingsVersion> &Updates) {
  SettingsUpdates_ = Updates;
  for (const Member &Target : broadcastTargets()) {
    GossipMessage Message;
    Message.Kind_ = GossipKind::SettingsUpdate;
    send(Target.Peer_, Message);
  }
  SettingsUpdates_.clear();
}

void Membership::broadcastNews(const QuarantineNews &News) {
  for (const Member &Target : broadcastTargets()) {
    GossipMessage Message;
    Message.Kind_ = GossipKind::Quarantine;
    Message.Quarantine_ = News;
    send(Target.Peer_, Message);
  }
}

void Membership::sendEvidence(const Endpoint &To,
                              const StoreEvidence &Evidence) {
  GossipMessage Message;
  Message.Kind_ = GossipKind::StoreEvidence;
  Message.Evidence_ = Evidence;
  send(To, Message);
}

void Membership::send(const Endpoint &To, GossipMessage Message) {
  Message.From_ = Self_.Node_;
  Message.SettingsDigest_ = SettingsDigest_;
  Message.StoreEra_ = StoreEra_;
  Message.MembersDigest_ = Digest_;
  Message.SettingsUpdates_ = SettingsUpdates_;
  attachReports(Message);
  Sends_.push_back({To, std::move(Message)});
}

// Attaches this node's report while it has broadcasts left, then the reports
// with the most broadcasts left.
void Membership::attachReports(GossipMessage &Message) {
  if (RemainingSelfBroadcasts_ > 0) {
    --RemainingSelfBroadcasts_;
    Message.Members_.push_back(Self_);
  }
  std::vector<Entry *> Pending;
  for (std::pair<const std::string, Entry> &NodeEntry : Entries_)
    if (NodeEntry.second.RemainingBroadcasts_ > 0)
      Pending.push_back(&NodeEntry.second);
  std::size_t Capacity =
      MaxReportsPerMessage -
      std::min(MaxReportsPerMessage, Message.Members_.size());
  std::size_t Count = std::min(Capacity, Pending.size());
  std::partial_sort(
      Pending.begin(), Pending.begin() + static_cast<std::ptrdiff_t>(Count),
      Pending.end(), [](const Entry *Left, const Entry *Right) {
        return Left->RemainingBroadcasts_ > Right->RemainingBroadcasts_;
      });
  std::size_t Bytes = 0;
  for (const Member &Attached : Message.Members_)
    Bytes += bytesOf(Attached);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Bytes += bytesOf(Pending[Index]->Member_);
    if (Bytes > MaxReportBytesPerMessage && !Message.Members_.empty())
      return;
    --Pending[Index]->RemainingBroadcasts_;
    Message.Members_.push_back(Pending[Index]->Member_);
  }
}

std::vector<const Member *> Membership::availableMembers() const {
  std::vector<const Member *> Result;
  for (const std::pair<const std::string, Entry> &NodeEntry : Entries_)
    if (isAvailable(NodeEntry.second.Member_))
      Result.push_back(&NodeEntry.second.Member_);
  return Result;
}

std::vector<Member> Membership::available() const {
  std::vector<Member> Result;
  for (const std::pair<const std::string, Entry> &NodeEntry : Entries_)
    if (isAvailable(NodeEntry.second.Member_))
      Result.push_back(NodeEntry.second.Member_);
  return Result;
}

std::size_t Membership::staying() const {
  return static_cast<std::size_t>(
      std::count_if(Entries_.begin(), Entries_.end(), [](const auto &Known) {
        return Known.second.Member_.Status_ != MemberStatus::Leaving;
      }));
}

std::vector<Member> Membership::all() const {
  std::vector<Member> Result;
  for (const std::pair<const std::string, Entry> &NodeEntry : Entries_)
    Result.push_back(NodeEntry.second.Member_);
  return Result;
}

const Member *Membership::find(const std::string &Node) const {
  auto Existing = Entries_.find(Node);
  return Existing == Entries_.end() ? nullptr : &Existing->second.Member_;
}

std::vector<Member> Membership::sample(std::size_t Count) {
  std::vector<const Member *> Members = availableMembers();
  std::shuffle(Members.begin(), Members.end(), Random_);
  Members.resize(std::min(Count, Members.size()));
  std::vector<Member> Result;
  Result.reserve(Members.size());
  for (const Member *Chosen : Members)
    Result.push_back(*Chosen);
  return Result;
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
  return std::exchange(ChangedMembers_, {});
}

} // namespace fulmarshelf
