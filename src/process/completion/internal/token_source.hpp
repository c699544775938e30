#ifndef LAGOONLADDER_COMPLETION_TOKEN_SOURCE_HPP
#define LAGOONLADDER_COMPLETION_TOKEN_SOURCE_HPP

#include <functional>
#include <memory>

#include <lagoonladder/request.hpp>

namespace lagoonladder::completion
{

/// Source of the tokens of one accepted completion. Used on the traffic thread only.
class token_source
{
public:
    using handler = std::function<void(request::fetch_result)>;

    virtual ~token_source() = default;

    /// Passes the tokens from `offset` on to `done` as soon as there are any or the outcome is
    /// known, or an empty result if neither arrives within a second. Only one read at a time.
    virtual void read(token_offset offset, handler done) = 0;
};

/// Repeats the read until it returns tokens or an outcome, or until no entry holds the request.
void read_first(std::shared_ptr<token_source> const& source, token_offset offset,
                token_source::handler done);

} // namespace lagoonladder::completion

#endif
