#include "standins/client_crowd.h"

#include <algorithm>

namespace wigeonwall::standins {

namespace asio = connection::asio;
using std::chrono::steady_clock;

namespace {

/// Bytes per write; a whole number of pieces.
constexpr std::size_t BlockBytes = 16 * 1024;
constexpr std::chrono::milliseconds SamplePeriod{5};

std::string repeat(const std::string &Piece, std::size_t Bytes) {
  if (Piece.empty())
    return {};
  std::string Result = Piece;
  while (Result.size() + Piece.size() <= Bytes)
    Result += Piece;
  return Result;
}

} // namespace

struct ClientCrowd::Client {
  explicit Client(asio::io_context &Context) : Socket_(Context) {}

  void send(const ClientCrowd &Crowd, const std::string &Text) {
    asio::async_write(Socket_, asio::buffer(Text),
                      [this, &Crowd](auto Error, std::size_t) {
                        Done_ = Error || Sent_++ == Crowd.Blocks_;
                        if (!Done_)
                          send(Crowd, Crowd.Block_);
                      });
  }

  asio::ip::tcp::socket Socket_;
  std::string Head_;
  std::size_t Sent_ = 0;
  bool Done_ = false;
};

ClientCrowd::ClientCrowd(std::uint16_t Port, std::size_t Clients,
                         const CrowdScript &Script)
    : Block_(repeat(Script.Piece_, BlockBytes)),
      Blocks_(Block_.empty() ? 0 : Script.TotalBytes_ / Block_.size()) {
  const asio::ip::tcp::endpoint Server(asio::ip::make_address("127.0.0.1"),
                                       Port);
  for (std::size_t I = 0; I < Clients; ++I) {
    Clients_.push_back(std::make_unique<Client>(Context_));
    Client &Added = *Clients_.back();
    Added.Head_ = Script.HeadOf_ ? Script.HeadOf_(I) : Script.Head_;
    Added.Socket_.async_connect(Server, [this, &Added](auto Error) {
      Added.Done_ = static_cast<bool>(Error);
      if (!Error)
        Added.send(*this, Added.Head_);
    });
  }
}

ClientCrowd::~ClientCrowd() = default;

void ClientCrowd::run(std::chrono::milliseconds MaxTime,
                      std::chrono::milliseconds Pause,
                      const std::function<void()> &Sample) {
  auto End = steady_clock::now() + MaxTime;
  bool AllDone = false;
  while (steady_clock::now() < End) {
    Context_.restart();
    Context_.run_for(SamplePeriod);
    Sample();
    if (!AllDone && std::all_of(Clients_.begin(), Clients_.end(),
                                [](const auto &Each) { return Each->Done_; })) {
      AllDone = true;
      End = steady_clock::now() + Pause;
    }
  }
}

} // namespace wigeonwall::standins
