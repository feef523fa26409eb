#include "wigeonwall/connection/input_budget.h"

#include <bit>

namespace wigeonwall::connection {

InputBudget::Rank InputBudget::rank(Id Input, std::size_t Bytes) noexcept {
  return {static_cast<unsigned>(std::bit_width(Bytes)), Input};
}

InputBudget::Id InputBudget::add(std::function<void()> OnEvicted) {
  ++LastId_;
  Inputs_[LastId_] = {0, std::move(OnEvicted)};
  Ranks_.insert(rank(LastId_, 0));
  return LastId_;
}

void InputBudget::update(Id Input, std::size_t Bytes) {
  const auto Found = Inputs_.find(Input);
  if (Found == Inputs_.end())
    return;
  const Rank Before = rank(Input, Found->second.Bytes_);
  const Rank After = rank(Input, Bytes);
  if (Before.SizeClass_ != After.SizeClass_) {
    Ranks_.erase(Before);
    Ranks_.insert(After);
  }
  Used_ = Used_ - Found->second.Bytes_ + Bytes;
  Found->second.Bytes_ = Bytes;
  while (Used_ > MaxBytes_)
    evictFirst();
}

void InputBudget::remove(Id Input) {
  const auto Found = Inputs_.find(Input);
  if (Found == Inputs_.end())
    return;
  Used_ -= Found->second.Bytes_;
  Ranks_.erase(rank(Input, Found->second.Bytes_));
  Inputs_.erase(Found);
  if (Exceeded_ && Used_ < MaxBytes_ / 2)
    setExceeded(false);
}

void InputBudget::evictFirst() {
  const Id First = Ranks_.begin()->Input_;
  const auto OnEvicted = std::move(Inputs_.at(First).OnEvicted_);
  remove(First);
  if (!Exceeded_)
    setExceeded(true);
  OnEvicted();
}

void InputBudget::setExceeded(bool Exceeded) {
  Exceeded_ = Exceeded;
  if (OnExceeded_)
    OnExceeded_(Exceeded);
}

} // namespace wigeonwall::connection
