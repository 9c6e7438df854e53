/// A temporary folder for the files of one test.
#pragma once

#include <filesystem>
#include <string>

namespace harness {

/// Creates a folder in the system's temporary folder. The destructor removes it with its content,
/// unless the environment variable FLAMINGOGRADE_KEEP is set.
class TempFolder
{
public:
    TempFolder();
    ~TempFolder();
    TempFolder(const TempFolder &) = delete;
    auto operator=(const TempFolder &) -> TempFolder & = delete;

    /// Returns the path of the file `name` in the folder.
    [[nodiscard]] auto file(const std::string &name) const -> std::filesystem::path
    {
        return this->path / name;
    }

private:
    std::filesystem::path path;
};

} // namespace harness
