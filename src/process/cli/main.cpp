#include <lagoonladder/cli.hpp>

int main(int argc, char** argv)
{
    return lagoonladder::run_command_line(argc, argv);
}
