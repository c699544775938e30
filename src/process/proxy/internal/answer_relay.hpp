#ifndef LAGOONLADDER_PROXY_ANSWER_RELAY_HPP
#define LAGOONLADDER_PROXY_ANSWER_RELAY_HPP

#include <memory>
#include <optional>
#include <string>

#include <lagoonladder/http.hpp>
#include <lagoonladder/request.hpp>

namespace lagoonladder::proxy
{

/// Hands an endpoint's answer to the caller: whole where it is small, else in parts, and
/// streams in whole events. Until the first byte has gone out, another answer may take
/// the place of the present one.
class answer_relay
{
public:
    /// Larger answers are passed on in parts.
    static constexpr std::size_t max_held_bytes = 64 * 1024;

    /// `last_event` is the event after which the caller's stream begins.
    answer_relay(std::shared_ptr<http::server_exchange> to, bool is_stream,
                 std::optional<std::uint64_t> last_event);

    /// Head of an answer, or of the answer that continues a broken stream.
    void start(http::response_head head, std::optional<std::uint64_t> length);
    /// Returns false when the bytes cannot follow what was passed on before.
    bool add(std::string_view bytes);
    /// Why the bytes that were added last cannot be passed on.
    std::string const& problem() const { return this->malformation; }
    /// The answer is complete. Returns false when it cannot be.
    bool complete();
    /// Drops what was not passed on; a stream continues with the next start().
    void interrupt();

    /// A byte has gone to the caller.
    bool is_committed() const { return this->committed; }
    /// The answer that was started last has had content.
    bool has_content() const { return this->content_seen; }
    /// A committed stream may continue after its last event.
    bool can_continue() const { return this->streams && this->has_ids; }
    std::optional<std::uint64_t> last_event() const { return this->last_id; }
    unsigned status() const { return this->head.status; }

private:
    void commit(std::optional<std::uint64_t> length);
    void take_event(request::event_splitter::event const& event);

    std::shared_ptr<http::server_exchange> exchange;
    bool const expects_stream;
    http::response_head head;
    std::optional<std::uint64_t> stated_length;
    std::string held;
    request::event_splitter splitter;
    std::optional<std::uint64_t> last_id;
    std::string malformation;
    bool streams = false;
    bool has_ids = true;
    bool committed = false;
    bool content_seen = false;
    bool is_continued = false;
    bool is_broken = false;
};

} // namespace lagoonladder::proxy

#endif
