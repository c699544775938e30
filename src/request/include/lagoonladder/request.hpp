#ifndef LAGOONLADDER_REQUEST_HPP
#define LAGOONLADDER_REQUEST_HPP

/// Public header of the request library: decisions that live for one request.

#include <lagoonladder/request/once_record.hpp>

#endif
