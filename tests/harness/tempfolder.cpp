#include "harness/tempfolder.h"

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace harness {

TempFolder::TempFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "flamingograde-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    this->path = name;
}

TempFolder::~TempFolder()
{
    if (std::getenv("FLAMINGOGRADE_KEEP") != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
}

} // namespace harness
