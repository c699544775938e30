#include "kv_store.hpp"

#include <httplib.h>

namespace lagoonladder::fakes
{

std::string kv_store::add(std::string const& owner, kv_entry entry)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    auto handle = owner + "-" + std::to_string(this->next_handle_number++);
    this->entries[handle] = std::move(entry);
    return handle;
}

std::optional<std::uint64_t> kv_store::import(std::string const& handle, std::string const& source)
{
    httplib::Client client("http://" + source);
    client.set_connection_timeout(1);
    client.set_read_timeout(2);
    auto const answer = client.Get("/v1/kv/" + handle);
    if (!answer || answer->status != 200)
        return std::nullopt;
    auto const body = nlohmann::json::parse(answer->body);
    kv_entry entry{body.at("prompt").get<std::string>(), body.at("tokens").get<std::uint64_t>()};
    auto const tokens = entry.tokens;
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->entries[handle] = std::move(entry);
    return tokens;
}

std::optional<kv_entry> kv_store::find(std::string const& handle) const
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    auto const position = this->entries.find(handle);
    return position == this->entries.end() ? std::nullopt : std::optional(position->second);
}

std::uint64_t kv_store::usable_tokens(std::string const& handle, std::string const& prompt) const
{
    auto const entry = this->find(handle);
    return entry && entry->prompt == prompt ? entry->tokens : 0;
}

} // namespace lagoonladder::fakes
