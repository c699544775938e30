#ifndef LAGOONLADDER_CLI_FAKE_ENTRY_HPP
#define LAGOONLADDER_CLI_FAKE_ENTRY_HPP

#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

/// An entry's operator API that sends the same response to every call, or, with
/// `drops_response`, receives the request and breaks off the response.
class fake_entry
{
public:
    fake_entry(int status, nlohmann::json body, bool drops_response = false)
    {
        auto const handler = [this, status, body, drops_response](httplib::Request const& request,
                                                                  httplib::Response& response)
        {
            {
                std::lock_guard<std::mutex> const lock(this->mutex);
                this->requests.push_back(request);
            }
            response.status = status;
            if (drops_response)
                response.set_content_provider(100, "application/json",
                                              [](auto, auto, auto&) { return false; });
            else
                response.set_content(body.dump(), "application/json");
        };
        this->server.Get("/.*", handler).Put("/.*", handler).Post("/.*", handler);
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running())
            std::this_thread::yield();
    }

    ~fake_entry()
    {
        this->server.stop();
        this->thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    std::vector<httplib::Request> received_requests()
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        return this->requests;
    }

private:
    httplib::Server server;
    std::mutex mutex;
    std::vector<httplib::Request> requests;
    int port = 0;
    std::thread thread;
};

#endif
