#ifndef LAGOONLADDER_FAKES_KV_STORE_HPP
#define LAGOONLADDER_FAKES_KV_STORE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace lagoonladder::fakes
{

/// KV cache of one request up to a token offset.
struct kv_entry
{
    std::string prompt;
    /// Number of generated tokens that the cache covers.
    std::uint64_t tokens = 0;
};

/// Exported and imported KV caches by handle. Thread-safe.
class kv_store
{
public:
    /// Stores a cache and returns its new handle, which starts with `owner`.
    std::string add(std::string const& owner, kv_entry entry);

    /// Copies the cache of a handle from the engine at "host:port". Returns the number of
    /// generated tokens, or no value when the engine cannot be reached or lacks the handle.
    std::optional<std::uint64_t> import(std::string const& handle, std::string const& source);

    std::optional<kv_entry> find(std::string const& handle) const;

    /// Number of generated tokens that a request with this handle need not recompute; 0 when
    /// the cache belongs to another prompt.
    std::uint64_t usable_tokens(std::string const& handle, std::string const& prompt) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, kv_entry> entries;
    std::uint64_t next_handle_number = 1;
};

} // namespace lagoonladder::fakes

#endif
