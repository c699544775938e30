#include "measurement.hpp"

#include <cstdio>
#include <fstream>

namespace lagoonladder::capacity
{

std::uint64_t resident_kib()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    std::uint64_t kib = 0;
    while (status >> word)
        if (word == "VmRSS:")
            status >> kib;
    return kib;
}

void print_figure(std::string const& name, std::string const& size,
                  std::vector<std::pair<std::string, double>> const& values)
{
    std::printf("%-22s %-24s", name.c_str(), size.c_str());
    for (auto const& [key, value] : values)
        std::printf(" %s=%.1f", key.c_str(), value);
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace lagoonladder::capacity
