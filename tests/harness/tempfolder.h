/// A folder for the files of one test.
#pragma once

#include <filesystem>
#include <string>

namespace harness {

/// Made under the system's temporary folder; removed with its content by the destructor,
/// unless the environment variable FLAMINGOGRADE_KEEP is set.
class TempFolder
{
public:
    TempFolder();
    ~TempFolder();
    TempFolder(const TempFolder &) = delete;
    auto operator=(const TempFolder &) -> TempFolder & = delete;

    /// Returns the path of `name` in it.
    [[nodiscard]] auto file(const std::string &name) const -> std::filesystem::path
    {
        return this->path / name;
    }

private:
    std::filesystem::path path;
};

} // namespace harness
