#include <lagoonladder/cli.hpp>

int main()
{
    return 0;
}
