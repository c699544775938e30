#include "prompt_exchange.hpp"

#include <nlohmann/json.hpp>

namespace lagoonladder::daemon
{

namespace
{

/// Addresses that are kept in parsed form; entries come and go, and get other addresses.
constexpr std::size_t max_resolved = 1'024;

std::optional<asio::ip::udp::endpoint> endpoint_of(network_address const& address)
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

std::string encode(std::string const& token, proxy::prompt_notice const& news)
{
    auto parts = nlohmann::json::array();
    for (auto const& part : news.prompt)
        parts.push_back({part.hash, part.tokens});
    std::string bytes;
    nlohmann::json::to_msgpack(
        nlohmann::json::array({token, news.engine.value(), news.incarnation.value(), parts}),
        bytes);
    return bytes;
}

/// Throws nlohmann::json::exception on bytes of another form.
std::optional<proxy::prompt_notice> decode(std::string const& token, std::string_view bytes)
{
    auto const fields = nlohmann::json::from_msgpack(bytes);
    if (fields.at(0).get<std::string>() != token)
        return std::nullopt;
    proxy::prompt_notice news;
    news.engine = endpoint_id(fields.at(1).get<std::string>());
    news.incarnation = incarnation(fields.at(2).get<std::uint64_t>());
    for (auto const& part : fields.at(3))
        news.prompt.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<std::uint64_t>()});
    return news;
}

} // namespace

prompt_exchange::prompt_exchange(asio::io_context& context, std::string token, handler on_received,
                                 event_sink& log, observability::metrics& metrics)
    : socket(context)
    , cluster_token(std::move(token))
    , on_news(std::move(on_received))
    , events(log)
    , gauges(metrics)
{
}

void prompt_exchange::start(network_address const& address)
{
    asio::error_code problem = asio::error::invalid_argument;
    auto const local = endpoint_of(address);
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

void prompt_exchange::stop()
{
    asio::error_code ignored;
    this->socket.close(ignored);
}

void prompt_exchange::send(std::vector<network_address> const& receivers,
                           proxy::prompt_notice const& news)
{
    if (!this->socket.is_open())
        return;
    auto const bytes = encode(this->cluster_token, news);
    if (bytes.size() > max_datagram_bytes)
        return this->gauges.add("prompt_news_total", {{"outcome", "too_long"}});
    std::size_t sent = 0;
    std::size_t not_sent = 0;
    for (auto const& receiver : receivers)
    {
        auto const& remote = this->resolve(receiver);
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
prompt_exchange::resolve(network_address const& receiver)
{
    auto const known = this->resolved.find(receiver);
    if (known != this->resolved.end())
        return known->second;
    if (this->resolved.size() >= max_resolved)
        this->resolved.clear();
    return this->resolved.emplace(receiver, endpoint_of(receiver)).first->second;
}

void prompt_exchange::count(char const* outcome, std::size_t datagrams)
{
    if (datagrams > 0)
        this->gauges.add("prompt_news_total", {{"outcome", outcome}},
                         static_cast<double>(datagrams));
}

void prompt_exchange::receive()
{
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
                                    [this](asio::error_code const& problem, std::size_t size)
                                    {
                                        if (problem == asio::error::operation_aborted ||
                                            !this->socket.is_open())
                                            return;
                                        // A refused datagram of this entry shows as an error of the
                                        // next receive.
                                        if (!problem)
                                            this->take(std::string_view(this->buffer.data(), size));
                                        this->receive();
                                    });
}

void prompt_exchange::take(std::string_view datagram)
{
    char const* outcome = "received";
    try
    {
        auto const news = decode(this->cluster_token, datagram);
        if (news)
            this->on_news(*news);
        else
            outcome = "wrong_token";
    }
    catch (nlohmann::json::exception const&)
    {
        outcome = "unreadable";
    }
    this->gauges.add("prompt_news_total", {{"outcome", outcome}});
}

} // namespace lagoonladder::daemon
