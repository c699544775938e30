#include "configuration_upload.hpp"

#include <algorithm>
#include <utility>

namespace lagoonladder::control
{

namespace
{

/// Enough to keep a link busy while the quorum confirms earlier parts.
constexpr std::size_t max_parts_in_flight = 4;

} // namespace

configuration_upload::configuration_upload(leader_client& client, version::apply_service_map wanted,
                                           time_point end, handler on_done)
    : leaders(client)
    , configuration(std::move(wanted))
    , deadline(end)
    , done(std::move(on_done))
    , is_multipart(this->configuration.content.size() > version::max_content_part_bytes)
{
}

void configuration_upload::start()
{
    this->propose_configuration();
}

void configuration_upload::propose_configuration()
{
    auto command = this->configuration;
    if (this->is_multipart)
        command.content.bytes.reset();
    this->leaders.propose(std::move(command), this->deadline,
                          [self = this->shared_from_this()](proposal_outcome const& outcome)
                          {
                              if (outcome.status != proposal_status::committed)
                                  return self->finish(std::nullopt);
                              self->handle_result(
                                  std::get<version::apply_map_result>(outcome.result));
                          });
}

void configuration_upload::handle_result(version::apply_map_result const& result)
{
    if (!result.lacks_content)
        return this->finish(result);
    this->send_parts(result.held_parts);
}

void configuration_upload::send_parts(std::vector<std::uint64_t> const& held)
{
    for (auto& part : version::split(this->configuration.content))
    {
        if (!std::binary_search(held.begin(), held.end(), part.offset))
            this->waiting.push_back(std::move(part));
    }
    if (this->waiting.empty())
        return this->propose_configuration();
    while (this->in_flight < max_parts_in_flight && !this->waiting.empty())
        this->send_next_part();
}

void configuration_upload::send_next_part()
{
    version::store_content_part command{std::move(this->waiting.front())};
    this->waiting.pop_front();
    ++this->in_flight;
    this->leaders.propose(std::move(command), this->deadline,
                          [self = this->shared_from_this()](proposal_outcome const& outcome)
                          {
                              --self->in_flight;
                              if (!self->done)
                                  return;
                              if (outcome.status != proposal_status::committed)
                                  return self->finish(std::nullopt);
                              if (!self->waiting.empty())
                                  return self->send_next_part();
                              if (self->in_flight == 0)
                                  self->propose_configuration();
                          });
}

void configuration_upload::finish(std::optional<version::apply_map_result> const& result)
{
    this->waiting.clear();
    if (auto const handler_to_call = std::exchange(this->done, nullptr))
        handler_to_call(result);
}

} // namespace lagoonladder::control
