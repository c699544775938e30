#include "proxy_fixture.hpp"

#include <algorithm>
#include <sstream>

#include <catch2/catch.hpp>

using namespace lagoonladder;

namespace
{

/// Time since the start of the process that the proxy belongs to; long enough for full quotas.
constexpr duration uptime = seconds(10);

network_address free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return network_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

version::pass_through_route make_route(std::string const& name, duration timeout)
{
    version::pass_through_route route;
    route.name = route_name(name);
    route.host = "h";
    route.path_prefix = "/" + name + "/";
    route.timeout = timeout;
    route.latency_objective = milliseconds(50);
    route.split = {{service_name(name), 1}};
    return route;
}

std::shared_ptr<version::service_index const> make_services()
{
    version::service_map map;
    map.number = 1;
    auto plain = make_route("plain", seconds(2));
    plain.retry = version::retry_policy::idempotent;
    plain.max_attempts = 2;
    auto stream = make_route("stream", seconds(2));
    stream.is_stream = true;
    stream.is_resumable = true;
    stream.max_attempts = 2;
    auto stream_once = make_route("stream-once", milliseconds(300));
    stream_once.is_stream = true;
    map.routes = {plain, make_route("once", milliseconds(300)), stream, stream_once};
    for (auto const& route : map.routes)
    {
        version::pass_through_service service;
        service.name = route.split[0].service;
        map.services.push_back(service);
    }
    version::pass_through_account account;
    account.name = account_id("account");
    account.keys = {"key-1"};
    map.accounts = {account};
    return std::make_shared<version::service_index const>(std::move(map));
}

request::prompt_parts parse_parts(std::string const& text)
{
    request::prompt_parts parts;
    std::istringstream list(text);
    for (std::string hash; std::getline(list, hash, ',');)
        parts.push_back({std::stoull(hash), 100});
    return parts;
}

bool has_part(http::request_head const& head, std::uint64_t part)
{
    auto const* text = head.headers.find("Parts");
    auto const parts = text == nullptr ? request::prompt_parts() : parse_parts(*text);
    return std::any_of(parts.begin(), parts.end(),
                       [&](auto const& candidate) { return candidate.hash == part; });
}

std::string event_text(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + char('a' + number - 1) + "\n\n";
}

} // namespace

struct fake_endpoint::connection
{
    explicit connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    void write(std::string const& bytes)
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    void close()
    {
        asio::error_code ignored;
        this->socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string input;
};

fake_endpoint::fake_endpoint(asio::io_context& context, std::string name)
    : id(std::move(name))
    , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    this->accept();
}

network_address fake_endpoint::address() const
{
    return network_address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
}

void fake_endpoint::accept()
{
    this->acceptor.async_accept(
        [this](asio::error_code const& problem, asio::ip::tcp::socket socket)
        {
            if (problem)
                return;
            this->read(std::make_shared<connection>(std::move(socket)));
            this->accept();
        });
}

void fake_endpoint::read(std::shared_ptr<connection> const& peer)
{
    peer->socket.async_read_some(asio::buffer(peer->chunk),
                                 [this, peer](asio::error_code const& problem, std::size_t count)
                                 {
                                     if (problem)
                                     {
                                         ++this->closed_by_peer;
                                         return peer->close();
                                     }
                                     peer->input.append(peer->chunk.data(), count);
                                     this->parse_request(peer);
                                     if (peer->socket.is_open())
                                         this->read(peer);
                                 });
}

void fake_endpoint::parse_request(std::shared_ptr<connection> const& peer)
{
    // The proxy sends complete requests with a stated length.
    auto const end = peer->input.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    http::request_head head;
    std::istringstream lines(peer->input.substr(0, end + 2));
    std::string line;
    std::getline(lines, line);
    std::istringstream(line) >> head.method >> head.target;
    while (std::getline(lines, line) && line.size() > 1)
    {
        auto const colon = line.find(": ");
        head.headers.add(line.substr(0, colon), line.substr(colon + 2, line.size() - colon - 3));
    }
    auto const* length = head.headers.find("Content-Length");
    auto const size = length == nullptr ? 0 : http::parse_number(*length).value();
    if (peer->input.size() < end + 4 + size)
        return;
    this->requests.push_back(head);
    this->bodies.push_back(peer->input.substr(end + 4, size));
    peer->input.erase(0, end + 4 + size);
    bool const is_deadly = this->deadly_part && has_part(head, *this->deadly_part);
    if (this->mode == endpoint_mode::delayed || is_deadly)
        this->answer_after_delay(peer, head);
    else
        this->answer_request(*peer, head);
}

void fake_endpoint::answer_after_delay(std::shared_ptr<connection> const& peer,
                                       http::request_head const& head)
{
    auto const timer =
        std::make_shared<asio::steady_timer>(this->acceptor.get_executor(), this->answer_delay);
    timer->async_wait(
        [this, timer, peer, head](asio::error_code const& problem)
        {
            if (!problem)
                this->answer_request(*peer, head);
        });
}

void fake_endpoint::answer_request(connection& peer, http::request_head const& head)
{
    auto const request = *head.headers.find("Id");
    if (*head.headers.find("Expected") != this->id)
        return peer.write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    auto const body = "answer to " + request;
    auto const length_line = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    auto const cold_line = this->cold_ms ? "Cold: " + std::to_string(*this->cold_ms) + "\r\n" : "";
    auto const load_line =
        this->running ? "Running: " + std::to_string(*this->running) + "\r\n" : "";
    auto const id_line = cold_line + load_line + "Id: " + request + "\r\n";
    auto const head_text = "HTTP/1.1 200 OK\r\nSeal: s\r\n" + id_line;
    if (this->deadly_part && has_part(head, *this->deadly_part))
    {
        peer.write(head_text + "Transfer-Encoding: chunked\r\n\r\n");
        return peer.close();
    }
    switch (this->mode)
    {
    case endpoint_mode::cut_head:
        peer.write((head_text + length_line).substr(0, this->head_bytes));
        return peer.close();
    case endpoint_mode::until_close:
        peer.write(head_text + "\r\n" +
                   (this->is_stream ? event_text(1) + event_text(2) + event_text(3) : body));
        return peer.close();
    case endpoint_mode::until_close_without_body:
        peer.write(head_text + "\r\n");
        return peer.close();
    case endpoint_mode::until_close_within_event:
        peer.write(head_text + "\r\n" + event_text(1) + event_text(2).substr(0, 9));
        return peer.close();
    case endpoint_mode::answer:
    case endpoint_mode::delayed:
    case endpoint_mode::cut_stream_once:
        if (this->is_stream)
        {
            auto const* last = head.headers.find("Last");
            return this->stream(peer, request, last ? *http::parse_number(*last) : 0);
        }
        return peer.write("HTTP/1.1 200 OK\r\nSeal: s\r\n" + id_line + length_line + body);
    case endpoint_mode::refuse:
        return peer.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    case endpoint_mode::fail:
        return peer.write("HTTP/1.1 " + std::to_string(this->failed_status) +
                          " Failed\r\nSeal: s\r\nRetry-After: 1\r\n" + id_line + length_line +
                          body);
    case endpoint_mode::silent:
        return;
    case endpoint_mode::close_without_answer:
        return peer.close();
    case endpoint_mode::cut_answer:
        peer.write("HTTP/1.1 200 OK\r\nSeal: s\r\n" + id_line + length_line + body.substr(1));
        return peer.close();
    case endpoint_mode::answer_without_seal:
        return peer.write("HTTP/1.1 200 OK\r\n" + id_line + length_line + body);
    case endpoint_mode::refusal_without_seal:
        return peer.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    case endpoint_mode::stale_refusal_first:
        return peer.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: old\r\nContent-Length: 0\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nSeal: s\r\n" +
                          id_line + length_line + body);
    case endpoint_mode::stale_refusal_without_id_first:
        return peer.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nSeal: s\r\n" +
                          id_line + length_line + body);
    case endpoint_mode::stale_answer_first:
        return peer.write("HTTP/1.1 200 OK\r\nSeal: s\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
                          "HTTP/1.1 200 OK\r\nSeal: s\r\n" +
                          id_line + length_line + body);
    }
}

void fake_endpoint::stream(connection& peer, std::string const& request, std::uint64_t after)
{
    constexpr std::uint64_t last_event_id = 3;
    std::string response =
        "HTTP/1.1 200 OK\r\nSeal: s\r\nId: " + request + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool const is_cut = this->mode == endpoint_mode::cut_stream_once && after == 0;
    for (auto number = after + 1; number <= last_event_id; ++number)
    {
        if (is_cut && number == 2)
        {
            http::append_chunk(response, event_text(number).substr(0, 7));
            peer.write(response);
            return peer.close();
        }
        http::append_chunk(response, event_text(number));
    }
    response += http::last_chunk;
    peer.write(response);
}

proxy::incoming_call test_codec::decode(http::request_head const& head) const
{
    proxy::incoming_call call;
    call.host = "h";
    call.target = head.target;
    call.id = request_id(*head.headers.find("Id"));
    call.account_key = *head.headers.find("Key");
    if (auto const* parts = head.headers.find("Parts"))
        call.prompt = parse_parts(*parts);
    return call;
}

http::request_head test_codec::encode(http::request_head const& received,
                                      proxy::forwarding_fields const& fields) const
{
    auto head = received;
    http::remove_connection_fields(head.headers);
    head.headers.set("Expected", fields.expected_endpoint.value());
    if (fields.last_event)
        head.headers.set("Last", std::to_string(*fields.last_event));
    return head;
}

proxy::endpoint_answer test_codec::decode(http::response_head const& head) const
{
    proxy::endpoint_answer answer;
    if (auto const* id = head.headers.find("Id"))
        answer.request = request_id(*id);
    if (auto const* cold_ms = head.headers.find("Cold"))
        answer.cold_remaining = milliseconds(std::stoi(*cold_ms));
    if (auto const* running = head.headers.find("Running"))
        answer.load.emplace().running = static_cast<std::uint32_t>(std::stoi(*running));
    answer.has_seal = head.headers.find("Seal") != nullptr;
    answer.is_from_other_endpoint = head.status == 421;
    answer.is_not_executed =
        answer.is_from_other_endpoint || head.headers.find("Not-Run") != nullptr;
    return answer;
}

http::response_head test_codec::relay(http::response_head const& head) const
{
    auto answer = head;
    http::remove_connection_fields(answer.headers);
    return answer;
}

test_control::test_control()
{
    auto initial_view = std::make_shared<proxy::traffic_view>();
    initial_view->is_ready = true;
    initial_view->services = make_services();
    initial_view->data_centre = data_centre_id("d");
    initial_view->configuration_expiry = time_point::max();
    this->current_view = initial_view;
}

http::head_action call_observer::on_head(http::response_head const& head)
{
    this->heads.push_back(head);
    return http::head_action::accept;
}

proxy_fixture::proxy_fixture(proxy::proxy_options const& options)
    : upstream(this->context, {}, this->time)
    , caller(this->context, {}, this->time)
    , proxy({this->context, this->upstream, this->codec, this->control, this->events, this->metrics,
             this->time, 7, this->time.now() - uptime},
            options)
    , address(free_address())
    , server(
          this->context, {this->address, 100, "test"}, this->proxy,
          [] { return http::connection_limits(); }, this->events, this->time)
{
    this->server.start();
}

fake_endpoint& proxy_fixture::add_endpoint(std::string const& service, std::string const& id)
{
    this->endpoints.push_back(std::make_unique<fake_endpoint>(this->context, id));
    auto& added = *this->endpoints.back();
    added.is_stream = service.starts_with("stream");
    this->control.change(
        [&](proxy::traffic_view& view)
        {
            connection::endpoint_record record;
            record.id = endpoint_id(id);
            record.service = service_name(service);
            record.version = version_name("v1");
            record.address = added.address();
            record.data_centre = data_centre_id("d");
            record.load.slots = 8;
            view.endpoints[record.service].push_back(record);
        });
    return added;
}

pending_call proxy_fixture::start_call(std::string const& path, std::string const& id,
                                       std::string const& body, std::string const& key,
                                       std::string const& parts)
{
    http::request_head head{"POST", path, {}};
    head.headers.add("Id", id);
    head.headers.add("Key", key);
    if (!parts.empty())
        head.headers.add("Parts", parts);
    pending_call pending;
    pending.observer = std::make_shared<call_observer>();
    pending.call = this->caller.send(
        this->address, std::make_shared<std::string const>(http::format_request(head, body)),
        pending.observer);
    return pending;
}

call_observer proxy_fixture::call(std::string const& path, std::string const& id,
                                  std::string const& body, std::string const& key)
{
    auto const pending = this->start_call(path, id, body, key);
    this->run_until([&] { return pending.observer->is_over(); });
    return *pending.observer;
}

call_observer proxy_fixture::call_with_prompt(std::string const& path, std::string const& id,
                                              std::string const& parts)
{
    auto const pending = this->start_call(path, id, "", "key-1", parts);
    this->run_until([&] { return pending.observer->is_over(); });
    return *pending.observer;
}

void proxy_fixture::run_until(std::function<bool()> const& condition)
{
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition() && std::chrono::steady_clock::now() < deadline)
    {
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(condition());
}
