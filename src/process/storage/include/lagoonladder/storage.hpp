#ifndef LAGOONLADDER_STORAGE_HPP
#define LAGOONLADDER_STORAGE_HPP

/// Public header of the storage library.

#endif
