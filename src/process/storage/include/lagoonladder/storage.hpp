#ifndef LAGOONLADDER_STORAGE_HPP
#define LAGOONLADDER_STORAGE_HPP

/// Public header of the storage library, which stores the replicated log of a node durably.

#include <lagoonladder/storage/file_log_store.hpp>
#include <lagoonladder/storage/log_store.hpp>
#include <lagoonladder/storage/memory_log_store.hpp>

#endif
