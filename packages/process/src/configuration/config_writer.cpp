#include "wigeonwall/process/configuration/config_writer.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <memory>

namespace wigeonwall::process {

namespace {

using connection::StoreEntry;
using connection::StoreError;
using connection::StoreFault;
using version::StoredConfig;
using Outcome = ConfigWriteOutcome;

/// \brief The compare-and-swap of an edit; identical in every attempt.
struct EditWrite {
  std::uint64_t Index_ = 0;
  std::uint64_t Version_ = 0;
  std::string Value_;
};

/// \brief State of one edit from its first read to its result.
class EditOperation : public std::enable_shared_from_this<EditOperation> {
public:
  EditOperation(connection::KeyValueStore &Store, ConfigWriter::Delay Wait,
                ConfigWriterLimits Limits, version::Config Document,
                std::optional<std::uint64_t> Expected,
                ConfigWriter::Callback Done)
      : Store_(Store), Delay_(std::move(Wait)), Limits_(Limits),
        Document_(std::move(Document)), Expected_(Expected),
        Done_(std::move(Done)), NextBackoff_(Limits.InitialBackoff_) {}

  void read() {
    Store_.read(ConfigKey,
                [Self = shared_from_this()](auto Entry, StoreFault Fault) {
                  if (Entry)
                    Self->onEntry(*Entry);
                  else
                    Self->onFault(Fault);
                });
  }

private:
  void onEntry(const StoreEntry &Entry) {
    StoredConfig Stored;
    if (Entry.Index_ != 0) {
      std::vector<version::ConfigFault> Faults;
      auto Decoded = version::parseStoredConfig(Entry.Value_, Faults);
      if (!Decoded)
        return finishAsNotWritten(
            {.Outcome_ = Outcome::StoredInvalid, .Faults_ = std::move(Faults)});
      Stored = std::move(*Decoded);
    }
    for (const version::ConfigEdit &Edit : Stored.Edits_)
      if (Edit.EditId_ == Document_.EditId_)
        return finish(
            {.Outcome_ = Outcome::Applied, .Version_ = Edit.Version_});
    if (Write_)
      return onReadBack(Entry, Stored);
    if (Expected_ && *Expected_ != Stored.Config_.Version_)
      return finishWithConflict(Stored);
    prepareWrite(Entry, std::move(Stored));
    write();
  }

  void prepareWrite(const StoreEntry &Entry, StoredConfig Stored) {
    Document_.Version_ = Stored.Config_.Version_ + 1;
    Stored.Config_ = Document_;
    Stored.Edits_.push_back({Document_.EditId_, Document_.Version_});
    if (Stored.Edits_.size() > version::MaxRecentEdits)
      Stored.Edits_.erase(Stored.Edits_.begin());
    Write_ = EditWrite{Entry.Index_, Document_.Version_,
                       request::writeJson(version::encodeStoredConfig(Stored))};
  }

  /// Repeating the write is safe: it changes the index, so the service accepts
  /// it at most once.
  void write() {
    ReadFollowsBackoff_ = false;
    Store_.compareAndSwap(
        ConfigKey, Write_->Value_, Write_->Index_,
        [Self = shared_from_this()](auto Swapped, const StoreFault &Fault) {
          if (!Swapped)
            return Self->onWriteFault(Fault);
          if (*Swapped)
            return Self->finish({.Outcome_ = Outcome::Applied,
                                 .Version_ = Self->Write_->Version_});
          // The value may have been written by an earlier attempt of this edit.
          Self->read();
        });
  }

  void onWriteFault(const StoreFault &Fault) {
    WriteUnconfirmed_ = WriteUnconfirmed_ || Fault.Code_ == StoreError::Unknown;
    onFault(Fault);
  }

  /// Handles a value read after a write; the edit id is not in \p Stored.
  void onReadBack(const StoreEntry &Entry, const StoredConfig &Stored) {
    if (Entry.Index_ == Write_->Index_)
      // Counts as a failed attempt, so that stale reads cannot cause a busy
      // loop.
      return ReadFollowsBackoff_ ? write() : retryRead();
    const std::uint64_t Current = Stored.Config_.Version_;
    const bool ListCoversWrite =
        Current >= Write_->Version_ &&
        Current - Write_->Version_ < version::MaxRecentEdits;
    if (WriteUnconfirmed_ && !ListCoversWrite)
      return finish({.Outcome_ = Outcome::Unknown, .Message_ = LastError_});
    finishWithConflict(Stored);
  }

  void onFault(const StoreFault &Fault) {
    LastError_ = Fault.Message_;
    if (Fault.Code_ == StoreError::Refused)
      return finishAsNotWritten({.Outcome_ = Outcome::Refused});
    retryRead();
  }

  void retryRead() {
    ReadFollowsBackoff_ = true;
    if (++FailedAttempts_ >= Limits_.MaxAttempts_)
      return finishAsNotWritten({.Outcome_ = Outcome::Unavailable});
    const auto Backoff = NextBackoff_;
    NextBackoff_ = std::min(NextBackoff_ * 2, Limits_.MaxBackoff_);
    Delay_(Backoff, [Self = shared_from_this()] { Self->read(); });
  }

  void finishWithConflict(const StoredConfig &Stored) {
    finish({.Outcome_ = Outcome::Conflict,
            .Version_ = Stored.Config_.Version_,
            .Difference_ = version::diffConfig(Stored.Config_, Document_)});
  }

  /// \p Result states that nothing was written; after a write without a reply
  /// this is not certain, and the outcome becomes Unknown.
  void finishAsNotWritten(ConfigWriteResult Result) {
    if (WriteUnconfirmed_)
      Result.Outcome_ = Outcome::Unknown;
    Result.Message_ = LastError_;
    finish(std::move(Result));
  }

  void finish(ConfigWriteResult Result) { Done_(std::move(Result)); }

  connection::KeyValueStore &Store_;
  ConfigWriter::Delay Delay_;
  ConfigWriterLimits Limits_;
  version::Config Document_;
  std::optional<std::uint64_t> Expected_;
  ConfigWriter::Callback Done_;
  std::chrono::milliseconds NextBackoff_;
  std::optional<EditWrite> Write_;
  std::string LastError_;
  unsigned FailedAttempts_ = 0;
  /// A write was sent and its reply was lost or unusable.
  bool WriteUnconfirmed_ = false;
  /// The pending read follows a backoff delay.
  bool ReadFollowsBackoff_ = false;
};

} // namespace

ConfigWriter::ConfigWriter(connection::KeyValueStore &Store, Delay Wait,
                           ConfigWriterLimits Limits)
    : Store_(Store), Delay_(std::move(Wait)), Limits_(Limits) {}

void ConfigWriter::apply(version::Config Document,
                         std::optional<std::uint64_t> Expected,
                         std::string EditId, Callback Done) {
  Document.Version_ = 0;
  Document.EditId_ = EditId;
  Json::Value Encoded = version::encodeConfig(Document);
  // The encoder omits an empty id; set it so that the schema rejects it.
  Encoded["edit_id"] = EditId;
  ConfigWriteResult Rejection{.Outcome_ = Outcome::Invalid};
  if (!version::decodeConfig(Encoded, Rejection.Faults_))
    return Delay_(std::chrono::milliseconds(0),
                  [Done = std::move(Done), Rejection] { Done(Rejection); });
  std::make_shared<EditOperation>(Store_, Delay_, Limits_, std::move(Document),
                                  Expected, std::move(Done))
      ->read();
}

ConfigWriter::Delay asioDelay(connection::asio::io_context &Context) {
  return
      [&Context](std::chrono::milliseconds Time, std::function<void()> Done) {
        auto Timer =
            std::make_shared<connection::asio::steady_timer>(Context, Time);
        Timer->async_wait([Timer, Done = std::move(Done)](auto) { Done(); });
      };
}

} // namespace wigeonwall::process
