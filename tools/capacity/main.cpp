#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "sections.hpp"

namespace
{

using namespace lagoonladder::capacity;

std::map<std::string, void (*)()> const sections = {
    {"memory", measure_memory},
    {"companion", measure_companion},
    {"routing", measure_routing},
    {"gossip", measure_gossip},
    {"configuration", measure_configuration},
    {"consensus", measure_consensus},
    {"once", measure_at_most_once_records},
    {"restart", measure_restart},
    {"spread", measure_propagation},
    {"placement", measure_placement},
};

} // namespace

// Each run measures one section only: memory freed by an earlier section would be reused and
// hide the growth of the resident size.
int main(int argument_count, char** arguments)
{
    auto const section = sections.find(argument_count == 2 ? arguments[1] : "");
    if (section == sections.end())
    {
        std::fprintf(stderr, "usage: lagoonladder_capacity SECTION, one of:");
        for (auto const& [name, measure] : sections)
            std::fprintf(stderr, " %s", name.c_str());
        std::fprintf(stderr, "\n");
        return 2;
    }
    try
    {
        section->second();
        return 0;
    }
    catch (std::exception const& problem)
    {
        std::fprintf(stderr, "capacity: %s\n", problem.what());
        return 1;
    }
}
