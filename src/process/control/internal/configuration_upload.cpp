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

configuration_upload::configuration_upload(leader_client& client,
                                           version::apply_service_map command, time_point end,
                                           handler on_done)
    : consensus_group(client)
    , configuration(std::move(command))
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
    this->consensus_group.propose(std::move(command), this->deadline,
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

void configuration_upload::send_parts(std::vector<std::uint64_t> const& held_parts)
{
    for (auto& part : version::split(this->configuration.content))
    {
        if (!std::binary_search(held_parts.begin(), held_parts.end(), part.offset))
            this->waiting_parts.push_back(std::move(part));
    }
    if (this->waiting_parts.empty())
        return this->propose_configuration();
    while (this->parts_in_flight < max_parts_in_flight && !this->waiting_parts.empty())
        this->send_next_part();
}

void configuration_upload::send_next_part()
{
    version::store_content_part command{std::move(this->waiting_parts.front())};
    this->waiting_parts.pop_front();
    ++this->parts_in_flight;
    this->consensus_group.propose(std::move(command), this->deadline,
                                  [self = this->shared_from_this()](proposal_outcome const& outcome)
                                  {
                                      --self->parts_in_flight;
                                      if (!self->done)
                                          return;
                                      if (outcome.status != proposal_status::committed)
                                          return self->finish(std::nullopt);
                                      if (!self->waiting_parts.empty())
                                          return self->send_next_part();
                                      if (self->parts_in_flight == 0)
                                          self->propose_configuration();
                                  });
}

void configuration_upload::finish(std::optional<version::apply_map_result> const& result)
{
    this->waiting_parts.clear();
    if (auto const handler_to_call = std::exchange(this->done, nullptr))
        handler_to_call(result);
}

} // namespace lagoonladder::control
