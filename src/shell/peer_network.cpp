#include "fulmarshelf/detail/shell/peer_network.hpp"

#include <utility> // move

namespace fulmarshelf {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::size_t MaxInbound = 4096;

std::size_t messageBytes(const PeerMessage &Message) {
  std::size_t Size = Message.Body_.size();
  for (const Header &Field : Message.Headers_)
    Size += Field.Name_.size() + Field.Value_.size();
  return Size;
}

} // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context &Context,
                         const Endpoint &ListenAddress,
                         const HelloMessage &Self, Handler OnInput)
    : Self_(Self), OnInput_(std::move(OnInput)),
      Connections_(
          Context,
          {[this](ConnectionId Source) { onOpen(Source); },
           [this](ConnectionId Source, std::string_view Bytes) {
             onBytes(Source, Bytes);
           },
           [this](ConnectionId Source, CloseReason) { onClosed(Source); }}),
      Listener_(
          Context, ListenAddress, [this](boost::asio::ip::tcp::socket Socket) {
            if (Inbound_.size() >= MaxInbound)
              return; // the socket closes as it goes out of scope
            ConnectionId NewConnection = Connections_.adopt(std::move(Socket));
            Inbound_.emplace(NewConnection,
                             Inbound{PeerSession(PeerRole::Server), {}});
          }) {}

PeerNetwork::Outbound *PeerNetwork::find(LinkId Link) {
  auto LinkEntry = Links_.find(Link);
  return LinkEntry == Links_.end() ? nullptr : &Outbound_.at(LinkEntry->second);
}

void PeerNetwork::flush(ConnectionId Target, PeerSession &Http) {
  Connections_.write(Target, Http.takeOutput());
}

void PeerNetwork::open(LinkId Link, const Endpoint &Peer) {
  ConnectionId NewConnection = Connections_.connect(Peer, ConnectTimeout);
  Outbound_.emplace(NewConnection,
                    Outbound{Link, PeerSession(PeerRole::Client), {}, {}});
  Links_[Link] = NewConnection;
}

void PeerNetwork::close(LinkId Link) {
  auto LinkEntry = Links_.find(Link);
  if (LinkEntry == Links_.end())
    return;
  ConnectionId Target = LinkEntry->second;
  Links_.erase(LinkEntry);
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

void PeerNetwork::sendRequest(LinkId Link, const PendingRequest &Request,
                              const PeerMessage &Message) {
  Outbound *Entry = find(Link);
  if (Entry == nullptr)
    return;
  std::int32_t Stream = Entry->Http_.request(Message);
  if (Stream < 0) {
    handleStreamEnd(Link, Request, true);
    return;
  }
  Entry->PendingRequests_[Stream] = Request;
  if (Request.Kind_ == Kind::Call)
    Entry->CallStreams_[Request.Sequence_] = Stream;
  else
    ControlBytes_ += messageBytes(Message);
  flush(Links_.at(Link), Entry->Http_);
}

void PeerNetwork::send(LinkId Link, const CallMessage &Message) {
  sendRequest(Link, {Kind::Call, Message.Attempt_.Sequence_}, toPeer(Message));
}

void PeerNetwork::send(LinkId Link, const RevokeMessage &Message) {
  sendRequest(Link, {Kind::Revoke, Message.Attempt_.Sequence_},
              toPeer(Message));
}

void PeerNetwork::send(LinkId Link, const SyncMessage &Message) {
  sendRequest(Link, {Kind::Sync, 0}, toPeer(Message));
}

void PeerNetwork::cancel(LinkId Link, std::uint64_t Sequence) {
  Outbound *Entry = find(Link);
  if (Entry == nullptr)
    return;
  auto CallEntry = Entry->CallStreams_.find(Sequence);
  if (CallEntry == Entry->CallStreams_.end())
    return;
  std::int32_t Stream = CallEntry->second;
  Entry->CallStreams_.erase(CallEntry);
  Entry->PendingRequests_.erase(Stream);
  Entry->Http_.cancel(Stream);
  flush(Links_.at(Link), Entry->Http_);
}

void PeerNetwork::onOpen(ConnectionId Source) {
  auto OutboundEntry = Outbound_.find(Source);
  if (OutboundEntry != Outbound_.end())
    sendRequest(OutboundEntry->second.Link_, {Kind::Hello, 0}, toPeer(Self_));
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
  bool Valid = Entry.Http_.receive(Bytes);
  std::vector<PeerEvent> Events = Entry.Http_.takeEvents();
  flush(Source, Entry.Http_);
  OnInput_(LinkActivity{Link});
  for (const PeerEvent &Event : Events) {
    // The handler of an earlier event may have closed the connection.
    auto OutboundEntry = Outbound_.find(Source);
    if (OutboundEntry == Outbound_.end())
      return;
    const PeerReceived *Received = std::get_if<PeerReceived>(&Event);
    std::int32_t Stream = Received != nullptr
                              ? Received->Stream_
                              : std::get<PeerStreamEnded>(Event).Stream_;
    auto RequestEntry = OutboundEntry->second.PendingRequests_.find(Stream);
    if (RequestEntry == OutboundEntry->second.PendingRequests_.end())
      continue;
    PendingRequest Request = RequestEntry->second;
    OutboundEntry->second.PendingRequests_.erase(RequestEntry);
    OutboundEntry->second.CallStreams_.erase(Request.Sequence_);
    if (Received != nullptr)
      handleResponse(Link, Request, Received->Message_);
    else
      handleStreamEnd(Link, Request, std::get<PeerStreamEnded>(Event).Refused_);
  }
  if (Valid || !Outbound_.contains(Source))
    return;
  close(Link);
  OnInput_(LinkClosed{Link});
}

void PeerNetwork::handleResponse(LinkId Link, const PendingRequest &Request,
                                 const PeerMessage &Message) {
  switch (Request.Kind_) {
  case Kind::Hello: {
    HelloMessage Peer;
    if (parseReply(Message, Peer))
      OnInput_(LinkEstablished{Link, Peer.Node_, Peer.Incarnation_});
    return;
  }
  case Kind::Call: {
    CallReply Reply;
    if (parseReply(Message, Reply))
      OnInput_(ReplyArrived{Link, Request.Sequence_, Reply});
    else
      OnInput_(AttemptStreamClosed{Link, Request.Sequence_, false});
    return;
  }
  case Kind::Revoke: {
    RevokeReply Reply;
    if (!parseReply(Message, Reply))
      Reply.Result_ = RevokeResult::Unknown;
    OnInput_(RevokeAnswered{Link, Request.Sequence_, Reply});
    return;
  }
  case Kind::Sync: {
    SyncReply Reply;
    ControlBytes_ += messageBytes(Message);
    if (parseReply(Message, Reply))
      OnInput_(SyncAnswered{Link, Reply});
    return;
  }
  }
}

void PeerNetwork::handleStreamEnd(LinkId Link, const PendingRequest &Request,
                                  bool Refused) {
  if (Request.Kind_ == Kind::Call)
    OnInput_(AttemptStreamClosed{Link, Request.Sequence_, Refused});
  if (Request.Kind_ == Kind::Revoke)
    OnInput_(
        RevokeAnswered{Link, Request.Sequence_, {RevokeResult::Unknown, {}}});
}

void PeerNetwork::receiveInbound(ConnectionId Source, std::string_view Bytes) {
  PeerSession &Http = Inbound_.at(Source).Http_;
  bool Valid = Http.receive(Bytes);
  std::vector<PeerEvent> Events = Http.takeEvents();
  flush(Source, Http);
  for (const PeerEvent &Event : Events) {
    auto InboundEntry = Inbound_.find(Source);
    if (InboundEntry == Inbound_.end())
      return;
    if (const PeerReceived *Received = std::get_if<PeerReceived>(&Event)) {
      handleRequest(Source, Received->Stream_, Received->Message_);
      continue;
    }
    std::int32_t Stream = std::get<PeerStreamEnded>(Event).Stream_;
    auto StreamEntry = InboundEntry->second.Streams_.find(Stream);
    if (StreamEntry == InboundEntry->second.Streams_.end())
      continue;
    StreamKey Ended = StreamEntry->second;
    InboundEntry->second.Streams_.erase(StreamEntry);
    Streams_.erase(Ended);
    OnInput_(CallStreamClosed{Ended});
  }
  if (!Valid && Inbound_.contains(Source)) {
    Connections_.close(Source);
    dropInbound(Source);
  }
}

void PeerNetwork::handleRequest(ConnectionId Source, std::int32_t Stream,
                                const PeerMessage &Message) {
  StreamKey NewStream{++LastStream_};
  Inbound_.at(Source).Streams_[Stream] = NewStream;
  Streams_[NewStream] = {Source, Stream};
  PeerRequest Request = parsePeerRequest(Message);
  if (std::holds_alternative<HelloMessage>(Request))
    answer(NewStream, helloReply(Self_));
  else if (CallMessage *Call = std::get_if<CallMessage>(&Request))
    OnInput_(CallArrived{NewStream, std::move(*Call)});
  else if (RevokeMessage *Revoke = std::get_if<RevokeMessage>(&Request))
    OnInput_(RevokeArrived{NewStream, *Revoke});
  else if (SyncMessage *Sync = std::get_if<SyncMessage>(&Request))
    OnInput_(SyncArrived{NewStream, std::move(*Sync)});
  else
    answer(NewStream, malformedReply());
}

void PeerNetwork::answer(StreamKey Stream, const PeerMessage &Message) {
  auto StreamEntry = Streams_.find(Stream);
  if (StreamEntry == Streams_.end())
    return;
  StreamAddress Address = StreamEntry->second;
  Streams_.erase(StreamEntry);
  Inbound &Entry = Inbound_.at(Address.Connection_);
  Entry.Streams_.erase(Address.Stream_);
  Entry.Http_.respond(Address.Stream_, Message);
  flush(Address.Connection_, Entry.Http_);
}

void PeerNetwork::onClosed(ConnectionId Source) {
  auto OutboundEntry = Outbound_.find(Source);
  if (OutboundEntry == Outbound_.end()) {
    dropInbound(Source);
    return;
  }
  LinkId Link = OutboundEntry->second.Link_;
  Links_.erase(Link);
  Outbound_.erase(OutboundEntry);
  OnInput_(LinkClosed{Link});
}

void PeerNetwork::dropInbound(ConnectionId Source) {
  auto InboundEntry = Inbound_.find(Source);
  if (InboundEntry == Inbound_.end())
    return;
  std::vector<StreamKey> Ended;
  for (const std::pair<const std::int32_t, StreamKey> &Open :
       InboundEntry->second.Streams_)
    Ended.push_back(Open.second);
  Inbound_.erase(InboundEntry);
  // The handler for one closed stream may answer another stream of the same
  // connection, so all streams are removed before the handler is called.
  for (const StreamKey &Stream : Ended)
    Streams_.erase(Stream);
  for (const StreamKey &Stream : Ended)
    OnInput_(CallStreamClosed{Stream});
}

} // namespace fulmarshelf
