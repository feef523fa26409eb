/// \file
/// \brief Disables callbacks whose owner has been destroyed.
#ifndef WIGEONWALL_PROCESS_RUNTIME_LIFETIME_TOKEN_H
#define WIGEONWALL_PROCESS_RUNTIME_LIFETIME_TOKEN_H

#include <memory>
#include <utility>

namespace wigeonwall::process {

/// \brief Member of an object whose callbacks may outlive it. All callbacks run
/// on one thread.
class LifetimeToken {
public:
  /// \brief Returns a callback that does nothing once this token is destroyed
  /// or revoked.
  template <typename Function> [[nodiscard]] auto guard(Function Call) const {
    return [Weak = std::weak_ptr<int>(Token_),
            Call = std::move(Call)](auto &&...Arguments) {
      if (!Weak.expired())
        Call(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }
  /// \brief Disables all callbacks that were wrapped so far.
  void revoke() { Token_ = std::make_shared<int>(0); }

private:
  std::shared_ptr<int> Token_ = std::make_shared<int>(0);
};

} // namespace wigeonwall::process

#endif
