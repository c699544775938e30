#include <token_source.hpp>

#include <completion_store.hpp>

namespace lagoonladder::completion
{

void read_first(std::shared_ptr<token_source> const& source, token_offset offset,
                token_source::handler done)
{
    source->read(offset,
                 [source, offset, done = std::move(done)](request::fetch_result result)
                 {
                     if (completion_store::is_worth_sending(result))
                         return done(std::move(result));
                     read_first(source, offset, done);
                 });
}

} // namespace lagoonladder::completion
