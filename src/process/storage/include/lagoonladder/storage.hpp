#ifndef LAGOONLADDER_STORAGE_HPP
#define LAGOONLADDER_STORAGE_HPP

/// Public header of the storage library: the durable state of the replicated log.

#include <lagoonladder/storage/file_log_store.hpp>
#include <lagoonladder/storage/log_store.hpp>
#include <lagoonladder/storage/memory_log_store.hpp>

#endif
