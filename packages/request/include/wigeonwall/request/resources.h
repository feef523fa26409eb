/// \file
/// \brief Resource amounts of minions and runs.
#ifndef WIGEONWALL_REQUEST_RESOURCES_H
#define WIGEONWALL_REQUEST_RESOURCES_H

#include <cstdint>

namespace wigeonwall::request {

/// \brief Amounts of CPU, memory and GPUs.
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

  [[nodiscard]] bool fitsIn(const Resources &Available) const noexcept {
    return CpuMillicores_ <= Available.CpuMillicores_ &&
           MemoryMb_ <= Available.MemoryMb_ && Gpus_ <= Available.Gpus_;
  }
};

} // namespace wigeonwall::request

#endif
