#include <lagoonladder/version.hpp>
