#ifndef LAGOONLADDER_STORAGE_TEMPORARY_FOLDER_HPP
#define LAGOONLADDER_STORAGE_TEMPORARY_FOLDER_HPP

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

/// A new temporary folder, which the destructor removes with its content.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "storage-XXXXXX").string();
        this->path = ::mkdtemp(pattern.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(this->path); }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string path;
};

inline std::string read_bytes(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream bytes;
    bytes << input.rdbuf();
    return std::move(bytes).str();
}

inline void write_bytes(std::string const& path, std::string const& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

#endif
