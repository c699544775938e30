#include <lagoonladder/request.hpp>
