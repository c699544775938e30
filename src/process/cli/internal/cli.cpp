#include <lagoonladder/cli.hpp>
