#include "file_system.hpp"

namespace lagoonladder::storage
{

std::string temporary_path(std::string const& path)
{
    return path + ".tmp";
}

void publish_temporary(file_system& files, file& temporary, std::string const& folder,
                       std::string const& path)
{
    temporary.sync();
    files.rename(temporary_path(path), path);
    files.sync_folder(folder);
}

void write_file_durably(file_system& files, std::string const& folder, std::string const& name,
                        std::string const& bytes)
{
    auto const path = folder + "/" + name;
    auto const temporary = files.open(temporary_path(path), open_mode::replace);
    temporary->append(bytes);
    publish_temporary(files, *temporary, folder, path);
}

} // namespace lagoonladder::storage
