#include "file_system.hpp"

namespace lagoonladder::storage
{

void write_file_durably(file_system& files, std::string const& folder, std::string const& name,
                        std::string const& bytes)
{
    auto const target = folder + "/" + name;
    auto const temporary = target + ".tmp";
    {
        auto const file = files.open(temporary, open_mode::replace);
        file->append(bytes);
        file->sync();
    }
    files.rename(temporary, target);
    files.sync_folder(folder);
}

} // namespace lagoonladder::storage
