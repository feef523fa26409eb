/// \file
/// \brief Resources of a minion and of the runs on it.
#ifndef WIGEONWALL_REQUEST_RESOURCES_H
#define WIGEONWALL_REQUEST_RESOURCES_H

#include <cstdint>

namespace wigeonwall::request {

/// \brief Amounts that a run occupies while it exists.
struct Resources {
  std::int64_t CpuMillicores_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Gpus_ = 0;

  Resources &operator+=(const Resources &Other) noexcept {
    CpuMillicores_ += Other.CpuMillicores_;
    MemoryMb_ += Other.MemoryMb_;
    Gpus_ += Other.Gpus_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) noexcept {
    CpuMillicores_ -= Other.CpuMillicores_;
    MemoryMb_ -= Other.MemoryMb_;
    Gpus_ -= Other.Gpus_;
    return *this;
  }
  [[nodiscard]] friend Resources operator+(Resources Left,
                                           const Resources &Right) noexcept {
    return Left += Right;
  }
  [[nodiscard]] friend Resources operator-(Resources Left,
                                           const Resources &Right) noexcept {
    return Left -= Right;
  }
  bool operator==(const Resources &) const = default;

  [[nodiscard]] bool fitsIn(const Resources &Room) const noexcept {
    return CpuMillicores_ <= Room.CpuMillicores_ &&
           MemoryMb_ <= Room.MemoryMb_ && Gpus_ <= Room.Gpus_;
  }
};

} // namespace wigeonwall::request

#endif
