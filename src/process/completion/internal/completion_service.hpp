#ifndef LAGOONLADDER_COMPLETION_COMPLETION_SERVICE_HPP
#define LAGOONLADDER_COMPLETION_COMPLETION_SERVICE_HPP

#include <functional>
#include <memory>
#include <variant>

#include <admission_gate.hpp>
#include <completion_runner.hpp>

namespace lagoonladder::completion
{

class requests_service;

/// A completion before admission.
struct new_completion
{
    version::account_config account;
    version::service_config service;
    std::string path;
    std::string body;
    request::request_priority priority = request::request_priority::interactive;
    duration timeout{};
    /// Work for the admission queue, in tokens.
    double expected_tokens = 1;
};

/// A completion that is worked on counts as open while this is kept, or it was refused.
using started_completion = std::variant<std::shared_ptr<open_request>, problem>;

/// Accepts completions and runs them to their end, also those taken over from other
/// entries. Used on the traffic thread.
class completion_service
{
public:
    completion_service(completion_parts const& shared, traffic_entries& known,
                       requests_service& companion_side);

    /// An id that no other request has.
    request_id next_id(control_view const& view);

    /// Admits the request and starts to work on it.
    void start(request_id const& id, new_completion const& completion,
               std::function<void(started_completion const&)> done);

    /// Takes over the requests of entries that are gone.
    void take_over_lost();

    completion_parts const& parts() const { return this->shared_parts; }

private:
    started_completion accept(request::accepted_request const& request,
                              connection::endpoint_record const& endpoint);
    std::shared_ptr<open_request> run(request::accepted_request const& request,
                                      token_offset resume_at,
                                      std::optional<connection::endpoint_record> const& first);

    completion_parts shared_parts;
    traffic_entries& entries;
    requests_service& companion;
    std::uint64_t sequence;
};

} // namespace lagoonladder::completion

#endif
