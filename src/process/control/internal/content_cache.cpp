#include "content_cache.hpp"

#include <algorithm>

namespace lagoonladder::control
{

void content_cache::add(version::packed_content const& content)
{
    if (!content.has_bytes())
        return;
    std::lock_guard const lock(this->mutex);
    std::erase_if(this->contents,
                  [&](auto const& cached) { return cached.digest == content.digest; });
    this->contents.push_back(content);
    if (this->contents.size() > max_contents)
        this->contents.pop_front();
}

std::optional<version::packed_content>
content_cache::find(version::content_digest const& digest) const
{
    std::lock_guard const lock(this->mutex);
    auto const found = std::find_if(this->contents.begin(), this->contents.end(),
                                    [&](auto const& cached) { return cached.digest == digest; });
    return found == this->contents.end() ? std::nullopt : std::optional(*found);
}

} // namespace lagoonladder::control
