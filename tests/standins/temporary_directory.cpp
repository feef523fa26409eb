#include "standins/temporary_directory.h"

#include <cstdlib>
#include <stdexcept>

namespace wigeonwall::standins {

TemporaryDirectory::TemporaryDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "wigeonwall-XXXXXX").string();
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary directory");
  Path_ = Pattern;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code Ignored;
  std::filesystem::remove_all(Path_, Ignored);
}

} // namespace wigeonwall::standins
