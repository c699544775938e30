#include <lagoonladder/storage.hpp>
