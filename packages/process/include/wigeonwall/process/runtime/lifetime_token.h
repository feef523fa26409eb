/// \file
/// \brief Callbacks that do nothing once their owner is gone.
#ifndef WIGEONWALL_PROCESS_RUNTIME_LIFETIME_TOKEN_H
#define WIGEONWALL_PROCESS_RUNTIME_LIFETIME_TOKEN_H

#include <memory>
#include <utility>

namespace wigeonwall::process {

/// \brief Member of an object whose callbacks may outlive it; one thread.
class LifetimeToken {
public:
  /// \brief Wraps a callback for the life of this token.
  template <typename Function> [[nodiscard]] auto guard(Function Call) const {
    return [Weak = std::weak_ptr<int>(Token_),
            Call = std::move(Call)](auto &&...Arguments) {
      if (!Weak.expired())
        Call(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }
  /// \brief Silences all callbacks wrapped so far.
  void revoke() { Token_ = std::make_shared<int>(0); }

private:
  std::shared_ptr<int> Token_ = std::make_shared<int>(0);
};

} // namespace wigeonwall::process

#endif
