#include <lagoonladder/consensus.hpp>
