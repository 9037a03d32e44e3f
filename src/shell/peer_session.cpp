#include "fulmarshelf/detail/shell/peer_session.hpp"

#include "fulmarshelf/detail/shell/peer_head.hpp" // packHead, unpackHead

#include <nghttp2/nghttp2.h> // nghttp2_session

#include <algorithm>     // copy_n, min
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <utility>       // exchange, move

namespace fulmarshelf {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 4096;
constexpr std::uint32_t StreamWindowBytes = 2 * 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 16 * 1024 * 1024;
constexpr std::uint32_t MaxHeaderListBytes = 64 * 1024;
constexpr std::size_t MaxStreamBytes =
    PeerSession::MaxMessageBytes + MaxPackedHeadBytes;

struct Stream {
  PeerMessage Incoming_;
  std::size_t HeaderBytes_ = 0;
  bool Received_ = false;
  std::string Outgoing_; ///< body of the message to send
  std::size_t SentBytes_ = 0;
};

struct SessionDeleter {
  void operator()(nghttp2_session *Session) const {
    nghttp2_session_del(Session);
  }
};

nghttp2_nv toField(const Header &Field) {
  // nghttp2 copies both strings and does not modify them.
  return {
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Field.Name_.data())),
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Field.Value_.data())),
      Field.Name_.size(), Field.Value_.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> toFields(const std::vector<Header> &Headers) {
  std::vector<nghttp2_nv> Fields;
  Fields.reserve(Headers.size());
  for (const Header &Field : Headers)
    Fields.push_back(toField(Field));
  return Fields;
}

} // namespace

struct PeerSession::State {
  std::unique_ptr<nghttp2_session, SessionDeleter> Session_;
  std::unordered_map<std::int32_t, Stream> Streams_;
  std::vector<PeerEvent> Events_;
};

namespace {

PeerSession::State &stateOf(void *User) {
  return *static_cast<PeerSession::State *>(User);
}

int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
  stateOf(User).Streams_.try_emplace(Frame->hd.stream_id);
  return 0;
}

int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
             const std::uint8_t *Name, std::size_t NameLength,
             const std::uint8_t *Value, std::size_t ValueLength, std::uint8_t,
             void *User) {
  auto StreamEntry = stateOf(User).Streams_.find(Frame->hd.stream_id);
  if (StreamEntry == stateOf(User).Streams_.end())
    return 0;
  Stream &Entry = StreamEntry->second;
  Entry.HeaderBytes_ += NameLength + ValueLength;
  if (Entry.HeaderBytes_ > MaxHeaderListBytes)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // resets this stream only
  Entry.Incoming_.Headers_.push_back(
      {std::string(reinterpret_cast<const char *>(Name), NameLength),
       std::string(reinterpret_cast<const char *>(Value), ValueLength)});
  return 0;
}

int onData(nghttp2_session *Session, std::uint8_t, std::int32_t Id,
           const std::uint8_t *Data, std::size_t Length, void *User) {
  auto StreamEntry = stateOf(User).Streams_.find(Id);
  if (StreamEntry == stateOf(User).Streams_.end())
    return 0;
  std::string &Body = StreamEntry->second.Incoming_.Body_;
  if (Body.size() + Length > MaxStreamBytes) {
    nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  Body.append(reinterpret_cast<const char *>(Data), Length);
  return 0;
}

int onFrame(nghttp2_session *Session, const nghttp2_frame *Frame, void *User) {
  bool CarriesMessage =
      Frame->hd.type == NGHTTP2_HEADERS || Frame->hd.type == NGHTTP2_DATA;
  if (!CarriesMessage || (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
    return 0;
  PeerSession::State &State = stateOf(User);
  auto StreamEntry = State.Streams_.find(Frame->hd.stream_id);
  if (StreamEntry == State.Streams_.end())
    return 0;
  std::optional<PeerMessage> Whole =
      unpackHead(std::exchange(StreamEntry->second.Incoming_, {}));
  if (!Whole || Whole->Body_.size() > PeerSession::MaxMessageBytes) {
    nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Frame->hd.stream_id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  StreamEntry->second.Received_ = true;
  State.Events_.emplace_back(
      PeerReceived{Frame->hd.stream_id, std::move(*Whole)});
  return 0;
}

int onStreamClose(nghttp2_session *Session, std::int32_t Id,
                  std::uint32_t Error, void *User) {
  PeerSession::State &State = stateOf(User);
  auto StreamEntry = State.Streams_.find(Id);
  if (StreamEntry == State.Streams_.end())
    return 0;
  bool IsServer = nghttp2_session_check_server_session(Session) != 0;
  // A client needs no more than the complete response. A server also needs to
  // know whether the client accepted the response.
  bool Complete = StreamEntry->second.Received_ && (!IsServer || Error == 0);
  State.Streams_.erase(StreamEntry);
  if (!Complete)
    State.Events_.emplace_back(
        PeerStreamEnded{Id, Error == NGHTTP2_REFUSED_STREAM});
  return 0;
}

ssize_t readBody(nghttp2_session *, std::int32_t Id, std::uint8_t *Buffer,
                 std::size_t Length, std::uint32_t *Flags,
                 nghttp2_data_source *, void *User) {
  auto StreamEntry = stateOf(User).Streams_.find(Id);
  if (StreamEntry == stateOf(User).Streams_.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Stream &Entry = StreamEntry->second;
  std::size_t Count =
      std::min(Length, Entry.Outgoing_.size() - Entry.SentBytes_);
  std::copy_n(Entry.Outgoing_.data() + Entry.SentBytes_, Count, Buffer);
  Entry.SentBytes_ += Count;
  if (Entry.SentBytes_ == Entry.Outgoing_.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

nghttp2_session *makeSession(PeerRole Role, PeerSession::State &State) {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                          &onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, &onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, &onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, &onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         &onStreamClose);
  nghttp2_session *Session = nullptr;
  if (Role == PeerRole::Server)
    nghttp2_session_server_new(&Session, Callbacks, &State);
  else
    nghttp2_session_client_new(&Session, Callbacks, &State);
  nghttp2_session_callbacks_del(Callbacks);
  return Session;
}

} // namespace

PeerSession::PeerSession(PeerRole Role) : State_(std::make_unique<State>()) {
  State_->Session_.reset(makeSession(Role, *State_));
  const nghttp2_settings_entry Settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, MaxHeaderListBytes}};
  nghttp2_submit_settings(State_->Session_.get(), NGHTTP2_FLAG_NONE, Settings,
                          std::size(Settings));
  nghttp2_session_set_local_window_size(
      State_->Session_.get(), NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
}

PeerSession::PeerSession(PeerSession &&) noexcept = default;
PeerSession &PeerSession::operator=(PeerSession &&) noexcept = default;
PeerSession::~PeerSession() = default;

bool PeerSession::receive(std::string_view Bytes) {
  ssize_t Consumed = nghttp2_session_mem_recv(
      State_->Session_.get(),
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
  return Consumed == static_cast<ssize_t>(Bytes.size());
}

std::vector<PeerEvent> PeerSession::takeEvents() {
  return std::exchange(State_->Events_, {});
}

std::int32_t PeerSession::request(const PeerMessage &Message) {
  PeerMessage Sent = packRequest(Message);
  std::vector<nghttp2_nv> Fields = toFields(Sent.Headers_);
  nghttp2_data_provider Provider{{}, &readBody};
  bool HasBody = !Sent.Body_.empty();
  std::int32_t Id = nghttp2_submit_request(
      State_->Session_.get(), nullptr, Fields.data(), Fields.size(),
      HasBody ? &Provider : nullptr, nullptr);
  if (Id > 0)
    State_->Streams_[Id].Outgoing_ = std::move(Sent.Body_);
  return Id;
}

void PeerSession::respond(std::int32_t Id, const PeerMessage &Message) {
  auto StreamEntry = State_->Streams_.find(Id);
  if (StreamEntry == State_->Streams_.end())
    return;
  PeerMessage Sent = packResponse(Message);
  std::vector<nghttp2_nv> Fields = toFields(Sent.Headers_);
  nghttp2_data_provider Provider{{}, &readBody};
  bool HasBody = !Sent.Body_.empty();
  StreamEntry->second.Outgoing_ = std::move(Sent.Body_);
  nghttp2_submit_response(State_->Session_.get(), Id, Fields.data(),
                          Fields.size(), HasBody ? &Provider : nullptr);
}

void PeerSession::cancel(std::int32_t Id) {
  nghttp2_submit_rst_stream(State_->Session_.get(), NGHTTP2_FLAG_NONE, Id,
                            NGHTTP2_CANCEL);
}

void PeerSession::ping() {
  nghttp2_submit_ping(State_->Session_.get(), NGHTTP2_FLAG_NONE, nullptr);
}

std::string PeerSession::takeOutput() {
  std::string Output;
  while (true) {
    const std::uint8_t *Data = nullptr;
    ssize_t Count = nghttp2_session_mem_send(State_->Session_.get(), &Data);
    if (Count <= 0)
      return Output;
    Output.append(reinterpret_cast<const char *>(Data),
                  static_cast<std::size_t>(Count));
  }
}

bool PeerSession::isFinished() const {
  return nghttp2_session_want_read(State_->Session_.get()) == 0 &&
         nghttp2_session_want_write(State_->Session_.get()) == 0;
}

} // namespace fulmarshelf
