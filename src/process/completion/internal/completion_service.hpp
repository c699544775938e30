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
    /// Expected number of tokens, which the admission queue uses as the amount of work.
    double expected_tokens = 1;
};

/// A started completion, which counts as open as long as the pointer is held, or a refusal.
using started_completion = std::variant<std::shared_ptr<open_request>, problem>;

/// Accepts completions and runs them to their end, including those taken over from other
/// entries. Used on the traffic thread only.
class completion_service
{
public:
    completion_service(completion_dependencies const& common_dependencies, entry_selector& selector,
                       requests_service& companion_requests);

    /// Creates a unique request id.
    request_id next_id(control_view const& view);

    /// Waits for admission of the request, then starts to process it.
    void start(request_id const& id, new_completion const& completion,
               std::function<void(started_completion const&)> done);

    /// Takes over the requests whose owners are lost.
    void take_over_lost_requests();

    completion_dependencies const& dependencies() const { return this->shared_dependencies; }

private:
    started_completion accept(request::accepted_request const& request,
                              connection::endpoint_record const& endpoint);
    std::shared_ptr<open_request> run(request::accepted_request const& request,
                                      token_offset resume_at,
                                      std::optional<connection::endpoint_record> const& first);

    completion_dependencies shared_dependencies;
    entry_selector& entries;
    requests_service& companion_service;
    std::uint64_t sequence;
};

} // namespace lagoonladder::completion

#endif
