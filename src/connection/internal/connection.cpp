#include <lagoonladder/connection.hpp>
