#ifndef LAGOONLADDER_BASE_REGION_HPP
#define LAGOONLADDER_BASE_REGION_HPP

#include <lagoonladder/base/strong_type.hpp>

namespace lagoonladder
{

/// Name of a region, which has one or more data centres.
using region_id = strong_id<struct region_id_tag>;

} // namespace lagoonladder

#endif
