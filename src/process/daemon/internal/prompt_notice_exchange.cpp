#include "prompt_notice_exchange.hpp"

#include <nlohmann/json.hpp>

namespace lagoonladder::daemon
{

namespace
{

/// Limits the cache of parsed addresses, which would otherwise grow as entries are replaced and
/// their addresses change.
constexpr std::size_t max_cached_endpoints = 1'024;

std::optional<asio::ip::udp::endpoint> parse_udp_endpoint(network_address const& address)
{
    auto const& text = address.value();
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    asio::error_code problem;
    auto const host = asio::ip::make_address(text.substr(0, colon), problem);
    auto const port = http::parse_number(text.substr(colon + 1));
    if (problem || !port || *port > 65'535)
        return std::nullopt;
    return asio::ip::udp::endpoint(host, static_cast<std::uint16_t>(*port));
}

std::string encode(std::string const& token, proxy::prompt_notice const& notice)
{
    auto parts = nlohmann::json::array();
    for (auto const& part : notice.prompt)
        parts.push_back({part.hash, part.tokens});
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({token, notice.engine.value(), notice.incarnation.value(), parts}),
        bytes);
    return bytes;
}

/// Returns no value when the cluster token differs. Throws nlohmann::json::exception on malformed
/// bytes.
std::optional<proxy::prompt_notice> decode(std::string const& token, std::string_view bytes)
{
    auto const fields = nlohmann::json::from_msgpack(bytes);
    if (fields.at(0).get<std::string>() != token)
        return std::nullopt;
    proxy::prompt_notice notice;
    notice.engine = endpoint_id(fields.at(1).get<std::string>());
    notice.incarnation = incarnation(fields.at(2).get<std::uint64_t>());
    for (auto const& part : fields.at(3))
        notice.prompt.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<std::uint64_t>()});
    return notice;
}

} // namespace

prompt_notice_exchange::prompt_notice_exchange(asio::io_context& context, std::string token,
                                               handler on_received, event_sink& log,
                                               observability::metrics& metrics)
    : socket(context)
    , cluster_token(std::move(token))
    , on_notice(std::move(on_received))
    , events(log)
    , counters(metrics)
{
}

void prompt_notice_exchange::start(network_address const& address)
{
    asio::error_code problem = asio::error::invalid_argument;
    auto const local = parse_udp_endpoint(address);
    if (local)
        this->socket.open(local->protocol(), problem);
    if (!problem)
        this->socket.bind(*local, problem);
    if (!problem)
        this->socket.non_blocking(true, problem);
    if (!problem)
        return this->receive();
    this->events.emit(severity::warning, "prompts.not_shared",
                      {{"address", address.value()}, {"reason", problem.message()}});
    this->stop();
}

void prompt_notice_exchange::stop()
{
    asio::error_code ignored;
    this->socket.close(ignored);
}

void prompt_notice_exchange::send(std::vector<network_address> const& receivers,
                                  proxy::prompt_notice const& notice)
{
    if (!this->socket.is_open())
        return;
    auto const bytes = encode(this->cluster_token, notice);
    if (bytes.size() > max_datagram_bytes)
        return this->counters.add("prompt_news_total", {{"outcome", "too_long"}});
    std::size_t sent = 0;
    std::size_t not_sent = 0;
    for (auto const& receiver : receivers)
    {
        auto const& remote = this->cached_endpoint(receiver);
        if (!remote)
            continue;
        asio::error_code problem;
        this->socket.send_to(asio::buffer(bytes), *remote, 0, problem);
        ++(problem ? not_sent : sent);
    }
    this->count("sent", sent);
    this->count("not_sent", not_sent);
}

std::optional<asio::ip::udp::endpoint> const&
prompt_notice_exchange::cached_endpoint(network_address const& receiver)
{
    auto const cached = this->cached_endpoints.find(receiver);
    if (cached != this->cached_endpoints.end())
        return cached->second;
    if (this->cached_endpoints.size() >= max_cached_endpoints)
        this->cached_endpoints.clear();
    return this->cached_endpoints.emplace(receiver, parse_udp_endpoint(receiver)).first->second;
}

void prompt_notice_exchange::count(char const* outcome, std::size_t datagrams)
{
    if (datagrams > 0)
        this->counters.add("prompt_news_total", {{"outcome", outcome}},
                           static_cast<double>(datagrams));
}

void prompt_notice_exchange::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->receive_buffer), this->sender,
        [this](asio::error_code const& problem, std::size_t size)
        {
            if (problem == asio::error::operation_aborted || !this->socket.is_open())
                return;
            // The next receive reports an error when a receiver rejected a datagram of this entry.
            // That is ignored, as notices may be lost.
            if (!problem)
                this->process_datagram(std::string_view(this->receive_buffer.data(), size));
            this->receive();
        });
}

void prompt_notice_exchange::process_datagram(std::string_view datagram)
{
    char const* outcome = "received";
    try
    {
        auto const notice = decode(this->cluster_token, datagram);
        if (notice)
            this->on_notice(*notice);
        else
            outcome = "wrong_token";
    }
    catch (nlohmann::json::exception const&)
    {
        outcome = "unreadable";
    }
    this->counters.add("prompt_news_total", {{"outcome", outcome}});
}

} // namespace lagoonladder::daemon
