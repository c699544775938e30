#include "configuration_client.hpp"

#include "configuration_upload.hpp"

namespace lagoonladder::control
{

namespace
{

/// An operator whose call takes longer tries another daemon.
constexpr duration command_timeout = milliseconds(900);
/// Rate at which a configuration is transferred when calls fill most of a 10 Mbit/s link.
constexpr std::uint64_t min_bytes_per_second = 250'000;

duration upload_timeout(std::uint64_t bytes)
{
    return command_timeout +
           milliseconds(static_cast<std::int64_t>(bytes * 1000 / min_bytes_per_second));
}

} // namespace

configuration_client::configuration_client(leader_client& client, content_fetcher& fetcher,
                                           telemetry const& sinks)
    : consensus_group(client)
    , content_source(fetcher)
    , events(sinks.events)
    , time(sinks.time)
{
}

void configuration_client::apply(version::service_configuration const& configuration,
                                 control_loop::apply_handler done)
{
    auto const started = this->time.now();
    version::apply_service_map command;
    try
    {
        command = version::make_apply_command(configuration);
    }
    catch (parse_error const& problem)
    {
        return this->refuse(configuration, problem.what(), done);
    }
    auto const bytes = command.content.size();
    this->events.emit(severity::info, "configuration.taken",
                      {{"number", std::to_string(command.number)},
                       {"routes", std::to_string(configuration.map.routes.size())},
                       {"document_bytes", std::to_string(configuration.document.size())},
                       {"packed_bytes", std::to_string(bytes)},
                       {"digest", command.content.digest.value()}});
    auto const report_result = [this, started, number = command.number, done = std::move(done)](
                                   std::optional<version::apply_map_result> const& result)
    {
        auto const elapsed = milliseconds_text(this->time.now() - started);
        if (!result)
            this->events.emit(
                severity::warning, "configuration.given_up",
                {{"number", std::to_string(number)},
                 {"elapsed_ms", elapsed},
                 {"leader", this->consensus_group.leader().value()},
                 {"reason",
                  "no quorum confirmed the configuration in time; it may still come into force"}});
        else
            this->events.emit(result->problem.empty() ? severity::info : severity::warning,
                              result->problem.empty() ? "configuration.acknowledged"
                                                      : "configuration.refused",
                              {{"number", std::to_string(number)},
                               {"stored", result->stored ? "true" : "false"},
                               {"number_in_force", std::to_string(result->number)},
                               {"elapsed_ms", elapsed},
                               {"reason", result->problem}});
        done(result);
    };
    std::make_shared<configuration_upload>(this->consensus_group, std::move(command),
                                           started + upload_timeout(bytes), report_result)
        ->start();
}

void configuration_client::refuse(version::service_configuration const& configuration,
                                  std::string const& problem,
                                  control_loop::apply_handler const& done)
{
    this->events.emit(severity::warning, "configuration.refused",
                      {{"number", std::to_string(configuration.map.number)},
                       {"routes", std::to_string(configuration.map.routes.size())},
                       {"document_bytes", std::to_string(configuration.document.size())},
                       {"reason", problem}});
    version::apply_map_result result;
    result.problem = problem;
    done(result);
}

void configuration_client::read(control_loop::read_handler done)
{
    auto const deadline = this->time.now() + command_timeout;
    this->consensus_group.propose(
        version::read_pass_through_state{}, deadline,
        [this, deadline, done](proposal_outcome const& outcome)
        {
            if (outcome.status != proposal_status::committed)
                return done(nullptr);
            auto const& state = std::get<version::pass_through_state_result>(outcome.result);
            if (state.content.value().empty())
                return done(nullptr);
            this->read_document(state.content, deadline, done);
        });
}

void configuration_client::read_document(version::content_digest const& digest, time_point deadline,
                                         control_loop::read_handler const& done)
{
    if (digest == this->last_digest)
        return done(this->last_document);
    this->content_source.fetch(
        digest, this->consensus_group.leader(),
        [this, digest, deadline, done](std::optional<version::packed_content> const& content)
        {
            if (!content || this->time.now() >= deadline)
            {
                this->events.emit(severity::warning, "configuration.read_given_up",
                                  {{"digest", digest.value()},
                                   {"reason", content ? "the content arrived after the deadline"
                                                      : "no voter sent the content"}});
                return done(nullptr);
            }
            this->deliver_document(*content, done);
        });
}

void configuration_client::deliver_document(version::packed_content const& content,
                                            control_loop::read_handler const& done)
{
    try
    {
        auto configuration = version::decode_service_configuration(version::unpack(content));
        this->last_document =
            std::make_shared<std::string const>(std::move(configuration.document));
        this->last_digest = content.digest;
        done(this->last_document);
    }
    catch (parse_error const& problem)
    {
        this->events.emit(severity::error, "configuration.unreadable",
                          {{"digest", content.digest.value()}, {"reason", problem.what()}});
        done(nullptr);
    }
}

} // namespace lagoonladder::control
