#include "notice_exchange.hpp"

#include "notice_codec.hpp"

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

} // namespace

notice_exchange::notice_exchange(asio::io_context& context, std::string token,
                                 notice_receiver& notices, clock const& time_source,
                                 event_sink& log, observability::metrics& metrics)
    : socket(context)
    , cluster_token(std::move(token))
    , receiver(notices)
    , time(time_source)
    , events(log)
    , counters(metrics)
{
}

void notice_exchange::start(network_address const& address)
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

void notice_exchange::stop()
{
    asio::error_code ignored;
    this->socket.close(ignored);
}

void notice_exchange::send(std::vector<network_address> const& receivers,
                           proxy::prompt_notice const& notice)
{
    this->send_datagram(receivers, encode_notice(this->cluster_token, notice));
}

void notice_exchange::send(std::vector<network_address> const& receivers,
                           std::vector<request::part_evidence> const& evidence)
{
    for (auto const& bytes :
         encode_notices(this->cluster_token, this->time.now(), evidence, max_datagram_bytes))
        this->send_datagram(receivers, bytes);
}

void notice_exchange::send_datagram(std::vector<network_address> const& receivers,
                                    std::string const& bytes)
{
    if (!this->socket.is_open())
        return;
    if (bytes.size() > max_datagram_bytes)
        return this->counters.add("prompt_news_total", {{"outcome", "too_long"}});
    std::size_t sent = 0;
    std::size_t not_sent = 0;
    for (auto const& address : receivers)
    {
        auto const& remote = this->cached_endpoint(address);
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
notice_exchange::cached_endpoint(network_address const& address)
{
    auto const cached = this->cached_endpoints.find(address);
    if (cached != this->cached_endpoints.end())
        return cached->second;
    if (this->cached_endpoints.size() >= max_cached_endpoints)
        this->cached_endpoints.clear();
    return this->cached_endpoints.emplace(address, parse_udp_endpoint(address)).first->second;
}

void notice_exchange::count(char const* outcome, std::size_t datagrams)
{
    if (datagrams > 0)
        this->counters.add("prompt_news_total", {{"outcome", outcome}},
                           static_cast<double>(datagrams));
}

void notice_exchange::receive()
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

void notice_exchange::process_datagram(std::string_view datagram)
{
    char const* outcome = "received";
    try
    {
        auto const notice = decode_notice(this->cluster_token, this->time.now(), datagram);
        if (auto const* prompt = std::get_if<proxy::prompt_notice>(&notice))
            this->receiver.on_prompt_notice(*prompt);
        else if (auto const* evidence = std::get_if<evidence_list>(&notice))
            this->receiver.on_crash_evidence(*evidence);
        else
            outcome = "wrong_token";
    }
    catch (parse_error const&)
    {
        outcome = "unreadable";
    }
    this->counters.add("prompt_news_total", {{"outcome", outcome}});
}

} // namespace lagoonladder::daemon
