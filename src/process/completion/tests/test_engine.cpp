#include "test_engine.hpp"

namespace lagoonladder::completion
{

test_endpoint::test_endpoint(memory_cluster& cluster, std::string const& id,
                             std::string const& service, std::string const& version)
    : shared_cluster(cluster)
{
    this->record.id = endpoint_id(id);
    this->record.service = service_name(service);
    this->record.version = version_name(version);
    this->record.load.slots = 64;
    this->server.set_tcp_nodelay(true);
    // Short, because stop() waits for idle connections of the entry's pool.
    this->server.set_keep_alive_timeout(1);
    this->server.new_task_queue = [] { return new httplib::ThreadPool(72); };
}

void test_endpoint::start()
{
    auto const port = this->server.bind_to_any_port("127.0.0.1");
    this->record.address = network_address("127.0.0.1:" + std::to_string(port));
    this->acceptor = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running())
        std::this_thread::sleep_for(milliseconds(1));
    this->shared_cluster.add(this->record);
}

void test_endpoint::stop()
{
    if (!this->acceptor.joinable())
        return;
    this->server.stop();
    this->acceptor.join();
}

test_endpoint::~test_endpoint()
{
    this->stop();
}

test_engine::test_engine(memory_cluster& cluster, std::string const& id, std::string const& version)
    : test_endpoint(cluster, id, "advisor", version)
{
    this->register_handlers();
    this->start();
}

test_engine::~test_engine()
{
    this->is_closing = true;
    this->stop();
}

std::vector<nlohmann::json> test_engine::bodies() const
{
    std::lock_guard const lock(this->mutex);
    return this->received_bodies;
}

void test_engine::register_handlers()
{
    auto const handler = [this](httplib::Request const& request, httplib::Response& response)
    { this->complete(request, response); };
    this->server.Post("/v1/chat/completions", handler);
    this->server.Post("/v1/completions", handler);
    this->server.Post("/v1/cancel", [](auto const&, auto& response)
                      { response.set_content("{}", "application/json"); });
    this->server.Post("/v1/kv/export",
                      [this](auto const&, auto& response)
                      {
                          response.status = this->has_kv ? 200 : 404;
                          response.set_content(R"({"handle":"kv-7","tokens":5})",
                                               "application/json");
                      });
    this->server.Post("/v1/kv/import",
                      [this](auto const&, auto& response)
                      {
                          ++this->imports;
                          response.set_content("{}", "application/json");
                      });
}

bool test_engine::write_token(httplib::DataSink& sink, std::uint64_t offset)
{
    nlohmann::json const event{
        {"choices",
         nlohmann::json::array({{{"index", 0},
                                 {"delta", {{"content", "t" + std::to_string(offset) + " "}}},
                                 {"finish_reason", nullptr}}})},
        {"offset", offset}};
    auto const text = "data: " + event.dump() + "\n\n";
    return sink.write(text.data(), text.size());
}

void test_engine::complete(httplib::Request const& request, httplib::Response& response)
{
    ++this->attempts;
    auto const body = nlohmann::json::parse(request.body);
    {
        std::lock_guard const lock(this->mutex);
        this->received_bodies.push_back(body);
    }
    if (this->status != 200)
    {
        response.status = this->status;
        response.set_content("{}", "application/json");
        return;
    }
    auto const first = body.value("resume_offset", std::uint64_t(0));
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, first](std::size_t, httplib::DataSink& sink)
        {
            for (auto offset = first; offset < this->token_count; ++offset)
            {
                std::this_thread::sleep_for(microseconds(this->token_delay_us));
                if (offset == this->break_at || this->is_closing)
                    return false;
                for (int i = 0; offset >= this->silent_at && i < 200 && !this->is_closing; ++i)
                    std::this_thread::sleep_for(milliseconds(10));
                if (offset == this->skip_at)
                    continue;
                if (!this->write_token(sink, offset))
                    return false;
                if (offset == this->repeat_at && !this->write_token(sink, offset))
                    return false;
            }
            std::string const end =
                "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
                "data: [DONE]\n\n";
            sink.write(end.data(), end.size());
            sink.done();
            return true;
        });
}

} // namespace lagoonladder::completion
