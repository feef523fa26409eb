/// \file
/// \brief Temporary directory that the destructor removes.
#ifndef WIGEONWALL_STANDINS_TEMPORARY_DIRECTORY_H
#define WIGEONWALL_STANDINS_TEMPORARY_DIRECTORY_H

#include <filesystem>
#include <string>

namespace wigeonwall::standins {

class TemporaryDirectory {
public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

  [[nodiscard]] std::string file(const std::string &Name) const {
    return (Path_ / Name).string();
  }

private:
  std::filesystem::path Path_;
};

} // namespace wigeonwall::standins

#endif
