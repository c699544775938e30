#include "log_line.hpp"

#include <iostream>

namespace lagoonladder::fakes
{

void log_line(std::string const& name, std::vector<event_field> const& fields)
{
    std::string line = "time=" + format_wall_time(system_clock().wall_now()) + " event=" + name;
    for (auto const& field : fields)
        line += " " + field.key + "=" + field.value;
    std::cerr << line + "\n";
}

} // namespace lagoonladder::fakes
