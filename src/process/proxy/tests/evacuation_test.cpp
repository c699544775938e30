#include <catch2/catch.hpp>

#include "proxy_fixture.hpp"

using namespace lagoonladder;

namespace
{

data_centre_id const evacuated_data_centre("hob-a");

/// Moves the endpoint to the data centre that the tests evacuate.
void place(proxy_fixture& system, fake_endpoint const& endpoint)
{
    system.control.change(
        [&](proxy::traffic_view& view)
        {
            for (auto& [service, rows] : view.endpoints)
            {
                for (auto& row : rows)
                {
                    if (row.id.value() == endpoint.id)
                        row.data_centre = evacuated_data_centre;
                }
            }
        });
}

void evacuate(proxy_fixture& system)
{
    system.control.change([](proxy::traffic_view& view)
                          { view.evacuated.insert(evacuated_data_centre); });
}

/// Listens on the loopback interface without accepting connections. Its queue is full, so that
/// further connections wait.
class stalled_listener
{
public:
    explicit stalled_listener(asio::io_context& context)
        : acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        this->acceptor.listen(0);
        for (auto i = 0; i < 4; ++i)
        {
            this->waiting.push_back(std::make_unique<asio::ip::tcp::socket>(context));
            this->waiting.back()->async_connect(this->acceptor.local_endpoint(),
                                                [](asio::error_code const&) {});
        }
    }

    network_address address() const
    {
        return network_address("127.0.0.1:" +
                               std::to_string(this->acceptor.local_endpoint().port()));
    }

private:
    asio::ip::tcp::acceptor acceptor;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> waiting;
};

} // namespace

TEST_CASE("endpoints in an evacuated data centre receive no requests and no retries")
{
    // Guards against first attempts, retries and resumed streams that reach an evacuated endpoint.
    proxy_fixture system;
    auto& evacuated = system.add_endpoint("plain", "e1");
    auto& other = system.add_endpoint("plain", "e2");
    place(system, evacuated);
    evacuate(system);
    for (int i = 0; i < 8; ++i)
        CHECK(system.call("/plain/x", "id-" + std::to_string(i)).status() == 200);
    other.mode = endpoint_mode::close_without_answer;
    CHECK(system.call("/plain/x", "id-8").status() != 200);
    auto& cut = system.add_endpoint("stream", "e3");
    auto& resuming = system.add_endpoint("stream", "e4");
    cut.mode = endpoint_mode::cut_stream_once;
    place(system, resuming);
    system.call("/stream/x", "id-9");
    CHECK(evacuated.requests.empty());
    CHECK(resuming.requests.empty());
}

TEST_CASE("a call is refused at once when all endpoints are in evacuated data centres")
{
    // Guards against calls that are held until their deadline, and refusals without the time after
    // which the caller may retry.
    proxy_fixture system;
    auto& evacuated = system.add_endpoint("once", "e1");
    place(system, evacuated);
    evacuate(system);
    auto const refused = system.call("/once/x", "id-1");
    CHECK(refused.status() == 503);
    CHECK(refused.heads[0].headers.find("Retry-After") != nullptr);
    CHECK(refused.body == "all endpoints of the service are in evacuated data centres");
    CHECK(evacuated.requests.empty());
    system.control.change([](proxy::traffic_view& view) { view.evacuated.clear(); });
    CHECK(system.call("/once/x", "id-2").status() == 200);
}

TEST_CASE("a call that waits for a connection leaves an evacuated endpoint")
{
    // Guards against a request that is sent to an evacuated endpoint once its connection opens.
    proxy_fixture system;
    stalled_listener const stalled(system.context);
    auto& evacuated = system.add_endpoint("once", "e1");
    place(system, evacuated);
    system.control.change(
        [&](proxy::traffic_view& view)
        { view.endpoints.at(service_name("once"))[0].address = stalled.address(); });
    auto const waiting = system.start_call("/once/x", "id-1");
    system.run_until([&] { return system.upstream.connections(stalled.address()) == 1; });
    auto& other = system.add_endpoint("once", "e2");
    evacuate(system);
    system.proxy.tick();
    CHECK(system.upstream.connections(stalled.address()) == 0);
    CHECK(system.upstream.connections(other.address()) == 1);
    system.run_until([&] { return waiting.observer->is_over(); });
    CHECK(waiting.observer->status() == 200);
    CHECK(other.requests.size() == 1);
}

TEST_CASE("a call that has reached an evacuated endpoint may finish there")
{
    // Guards against calls that run at most once and are cut off, or sent a second time.
    proxy_fixture system;
    auto& evacuated = system.add_endpoint("once", "e1");
    auto& other = system.add_endpoint("once", "e2");
    other.mode = endpoint_mode::refuse;
    place(system, evacuated);
    evacuated.mode = endpoint_mode::delayed;
    evacuated.answer_delay = std::chrono::milliseconds(100);
    system.control.change([](proxy::traffic_view& view)
                          { view.endpoints.at(service_name("once")).pop_back(); });
    auto const running = system.start_call("/once/x", "id-1");
    system.run_until([&] { return !evacuated.requests.empty(); });
    evacuate(system);
    system.proxy.tick();
    system.run_until([&] { return running.observer->is_over(); });
    CHECK(running.observer->status() == 200);
    CHECK(other.requests.empty());
}
