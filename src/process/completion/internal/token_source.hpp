#ifndef LAGOONLADDER_COMPLETION_TOKEN_SOURCE_HPP
#define LAGOONLADDER_COMPLETION_TOKEN_SOURCE_HPP

#include <functional>
#include <memory>

#include <lagoonladder/request.hpp>

namespace lagoonladder::completion
{

/// Where the tokens of one accepted completion are read from, on the traffic thread.
class token_source
{
public:
    using handler = std::function<void(request::fetch_result)>;

    virtual ~token_source() = default;

    /// Hands over the tokens from `offset` on when there are some or the outcome is known;
    /// nothing when neither has come within a second. One read at a time.
    virtual void read(token_offset offset, handler done) = 0;
};

/// Reads until there is something to send or the request is not held.
void read_first(std::shared_ptr<token_source> const& source, token_offset offset,
                token_source::handler done);

} // namespace lagoonladder::completion

#endif
