#include "fulmarshelf/detail/shell/peer_network.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::size_t MaxInbound = 4096;

std::size_t sizeOf(const PeerMessage &Message) {
  std::size_t Size = Message.Body_.size();
  for (const Header &Field : Message.Headers_)
    Size += Field.Name_.size() + Field.Value_.size();
  return Size;
}

} // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context &Context,
                         const Endpoint &Place, const HelloMessage &Self,
                         Handler OnInput)
    : Self_(Self), OnInput_(std::move(OnInput)),
      Connections_(
          Context,
          {[this](ConnectionId Source) { onOpen(Source); },
           [this](ConnectionId Source, std::string_view Bytes) {
             onBytes(Source, Bytes);
           },
           [this](ConnectionId Source, ConnectionEnd) { onClosed(Source); }}),
      Listener_(Context, Place, [this](boost::asio::ip::tcp::socket Socket) {
        if (Inbound_.size() >= MaxInbound)
          return; // the socket closes as it goes out of scope
        ConnectionId Fresh = Connections_.adopt(std::move(Socket));
        Inbound_.emplace(Fresh, Inbound{PeerSession(PeerRole::Server), {}});
      }) {}

PeerNetwork::Outbound *PeerNetwork::find(LinkId Link) {
  auto Found = Links_.find(Link);
  return Found == Links_.end() ? nullptr : &Outbound_.at(Found->second);
}

void PeerNetwork::flush(ConnectionId Target, PeerSession &Http) {
  Connections_.write(Target, Http.takeOutput());
}

void PeerNetwork::open(LinkId Link, const Endpoint &Peer) {
  ConnectionId Fresh = Connections_.connect(Peer, ConnectTimeout);
  Outbound_.emplace(Fresh,
                    Outbound{Link, PeerSession(PeerRole::Client), {}, {}});
  Links_[Link] = Fresh;
}

void PeerNetwork::close(LinkId Link) {
  auto Found = Links_.find(Link);
  if (Found == Links_.end())
    return;
  ConnectionId Target = Found->second;
  Links_.erase(Found);
  Outbound_.erase(Target);
  Connections_.close(Target);
}

void PeerNetwork::ping(LinkId Link) {
  Outbound *Entry = find(Link);
  if (Entry == nullptr)
    return;
  Entry->Http_.ping();
  flush(Links_.at(Link), Entry->Http_);
}

void PeerNetwork::ask(LinkId Link, const Asked &What,
                      const PeerMessage &Message) {
  Outbound *Entry = find(Link);
  if (Entry == nullptr)
    return;
  std::int32_t Stream = Entry->Http_.request(Message);
  if (Stream < 0) {
    handleEnd(Link, What, true);
    return;
  }
  Entry->Asked_[Stream] = What;
  if (What.Kind_ == Kind::Call)
    Entry->StreamOfCall_[What.Sequence_] = Stream;
  else
    ControlBytes_ += sizeOf(Message);
  flush(Links_.at(Link), Entry->Http_);
}

void PeerNetwork::send(LinkId Link, const CallMessage &Message) {
  ask(Link, {Kind::Call, Message.Attempt_.Sequence_}, toPeer(Message));
}

void PeerNetwork::send(LinkId Link, const RevokeMessage &Message) {
  ask(Link, {Kind::Revoke, Message.Attempt_.Sequence_}, toPeer(Message));
}

void PeerNetwork::send(LinkId Link, const SyncMessage &Message) {
  ask(Link, {Kind::Sync, 0}, toPeer(Message));
}

void PeerNetwork::cancel(LinkId Link, std::uint64_t Sequence) {
  Outbound *Entry = find(Link);
  if (Entry == nullptr)
    return;
  auto Found = Entry->StreamOfCall_.find(Sequence);
  if (Found == Entry->StreamOfCall_.end())
    return;
  std::int32_t Stream = Found->second;
  Entry->StreamOfCall_.erase(Found);
  Entry->Asked_.erase(Stream);
  Entry->Http_.cancel(Stream);
  flush(Links_.at(Link), Entry->Http_);
}

void PeerNetwork::onOpen(ConnectionId Source) {
  auto Found = Outbound_.find(Source);
  if (Found != Outbound_.end())
    ask(Found->second.Link_, {Kind::Hello, 0}, toPeer(Self_));
}

void PeerNetwork::onBytes(ConnectionId Source, std::string_view Bytes) {
  if (Outbound_.contains(Source))
    receiveOutbound(Source, Bytes);
  else if (Inbound_.contains(Source))
    receiveInbound(Source, Bytes);
}

void PeerNetwork::receiveOutbound(ConnectionId Source, std::string_view Bytes) {
  Outbound &Entry = Outbound_.at(Source);
  LinkId Link = Entry.Link_;
  bool Good = Entry.Http_.receive(Bytes);
  std::vector<PeerEvent> Events = Entry.Http_.takeEvents();
  flush(Source, Entry.Http_);
  OnInput_(LinkActivity{Link});
  for (const PeerEvent &Event : Events) {
    // A handler may have closed the connection.
    auto Still = Outbound_.find(Source);
    if (Still == Outbound_.end())
      return;
    const PeerReceived *Received = std::get_if<PeerReceived>(&Event);
    std::int32_t Stream = Received != nullptr
                              ? Received->Stream_
                              : std::get<PeerStreamEnded>(Event).Stream_;
    auto Known = Still->second.Asked_.find(Stream);
    if (Known == Still->second.Asked_.end())
      continue;
    Asked What = Known->second;
    Still->second.Asked_.erase(Known);
    Still->second.StreamOfCall_.erase(What.Sequence_);
    if (Received != nullptr)
      handleAnswer(Link, What, Received->Message_);
    else
      handleEnd(Link, What, std::get<PeerStreamEnded>(Event).Refused_);
  }
  if (Good || !Outbound_.contains(Source))
    return;
  close(Link);
  OnInput_(LinkClosed{Link});
}

void PeerNetwork::handleAnswer(LinkId Link, const Asked &What,
                               const PeerMessage &Message) {
  switch (What.Kind_) {
  case Kind::Hello: {
    HelloMessage Peer;
    if (parseReply(Message, Peer))
      OnInput_(LinkEstablished{Link, Peer.Node_, Peer.Incarnation_});
    return;
  }
  case Kind::Call: {
    CallReply Reply;
    if (parseReply(Message, Reply))
      OnInput_(ReplyArrived{Link, What.Sequence_, Reply});
    else
      OnInput_(AttemptStreamClosed{Link, What.Sequence_, false});
    return;
  }
  case Kind::Revoke: {
    RevokeReply Reply;
    if (!parseReply(Message, Reply))
      Reply.Result_ = RevokeResult::Unknown;
    OnInput_(RevokeAnswered{Link, What.Sequence_, Reply});
    return;
  }
  case Kind::Sync: {
    SyncReply Reply;
    ControlBytes_ += sizeOf(Message);
    if (parseReply(Message, Reply))
      OnInput_(SyncAnswered{Link, Reply});
    return;
  }
  }
}

void PeerNetwork::handleEnd(LinkId Link, const Asked &What, bool Refused) {
  if (What.Kind_ == Kind::Call)
    OnInput_(AttemptStreamClosed{Link, What.Sequence_, Refused});
  if (What.Kind_ == Kind::Revoke)
    OnInput_(RevokeAnswered{Link, What.Sequence_, {RevokeResult::Unknown, {}}});
}

void PeerNetwork::receiveInbound(ConnectionId Source, std::string_view Bytes) {
  PeerSession &Http = Inbound_.at(Source).Http_;
  bool Good = Http.receive(Bytes);
  std::vector<PeerEvent> Events = Http.takeEvents();
  flush(Source, Http);
  for (const PeerEvent &Event : Events) {
    auto Still = Inbound_.find(Source);
    if (Still == Inbound_.end())
      return;
    if (const PeerReceived *Received = std::get_if<PeerReceived>(&Event)) {
      handleRequest(Source, Received->Stream_, Received->Message_);
      continue;
    }
    std::int32_t Stream = std::get<PeerStreamEnded>(Event).Stream_;
    auto Known = Still->second.Streams_.find(Stream);
    if (Known == Still->second.Streams_.end())
      continue;
    StreamKey Ended = Known->second;
    Still->second.Streams_.erase(Known);
    Streams_.erase(Ended);
    OnInput_(CallStreamClosed{Ended});
  }
  if (!Good && Inbound_.contains(Source)) {
    Connections_.close(Source);
    dropInbound(Source);
  }
}

void PeerNetwork::handleRequest(ConnectionId Source, std::int32_t Stream,
                                const PeerMessage &Message) {
  StreamKey Fresh{++LastStream_};
  Inbound_.at(Source).Streams_[Stream] = Fresh;
  Streams_[Fresh] = {Source, Stream};
  PeerRequest Request = parsePeerRequest(Message);
  if (std::holds_alternative<HelloMessage>(Request))
    answer(Fresh, helloReply(Self_));
  else if (CallMessage *Call = std::get_if<CallMessage>(&Request))
    OnInput_(CallArrived{Fresh, std::move(*Call)});
  else if (RevokeMessage *Revoke = std::get_if<RevokeMessage>(&Request))
    OnInput_(RevokeArrived{Fresh, *Revoke});
  else if (SyncMessage *Sync = std::get_if<SyncMessage>(&Request))
    OnInput_(SyncArrived{Fresh, std::move(*Sync)});
  else
    answer(Fresh, malformedReply());
}

void PeerNetwork::answer(StreamKey Stream, const PeerMessage &Message) {
  auto Found = Streams_.find(Stream);
  if (Found == Streams_.end())
    return;
  StreamPlace Place = Found->second;
  Streams_.erase(Found);
  Inbound &Entry = Inbound_.at(Place.Connection_);
  Entry.Streams_.erase(Place.Stream_);
  Entry.Http_.respond(Place.Stream_, Message);
  flush(Place.Connection_, Entry.Http_);
}

void PeerNetwork::onClosed(ConnectionId Source) {
  auto Found = Outbound_.find(Source);
  if (Found == Outbound_.end()) {
    dropInbound(Source);
    return;
  }
  LinkId Link = Found->second.Link_;
  Links_.erase(Link);
  Outbound_.erase(Found);
  OnInput_(LinkClosed{Link});
}

void PeerNetwork::dropInbound(ConnectionId Source) {
  auto Found = Inbound_.find(Source);
  if (Found == Inbound_.end())
    return;
  std::vector<StreamKey> Ended;
  for (const std::pair<const std::int32_t, StreamKey> &Item :
       Found->second.Streams_)
    Ended.push_back(Item.second);
  Inbound_.erase(Found);
  // What one dropped stream sets off may answer another one of the connection,
  // so all of them have to be gone before anybody hears of it.
  for (const StreamKey &Stream : Ended)
    Streams_.erase(Stream);
  for (const StreamKey &Stream : Ended)
    OnInput_(CallStreamClosed{Stream});
}

} // namespace fulmarshelf
