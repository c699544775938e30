#include "weights.hpp"

#include <algorithm>
#include <mutex>
#include <thread>

#include "command.hpp"

namespace lagoonladder::fakes
{

namespace
{

struct weights_options
{
    std::uint64_t bytes_per_second = 50'000'000;
    /// Size of a version in bytes.
    std::uint64_t size = 10'000'000;
    int max_downloads = 4;
};

/// Delays the blocks of all downloads so that their total rate stays below a limit.
class rate_limiter
{
public:
    explicit rate_limiter(std::uint64_t initial_rate)
        : bytes_per_second(initial_rate)
    {
    }

    void wait_for(std::size_t bytes)
    {
        auto const transfer_time = from_seconds(double(bytes) / double(this->bytes_per_second));
        time_point until;
        {
            std::lock_guard<std::mutex> const lock(this->mutex);
            this->free_at = std::max(this->free_at, this->time.now()) + transfer_time;
            until = this->free_at;
        }
        std::this_thread::sleep_for(until - this->time.now());
    }

private:
    std::uint64_t bytes_per_second;
    system_clock time;
    std::mutex mutex;
    /// Time at which the blocks admitted so far have been transferred.
    time_point free_at{};
};

class weight_store
{
public:
    weight_store(std::string const& listen, weights_options const& initial)
        : service(listen)
        , options(initial)
        , limiter(initial.bytes_per_second)
    {
        this->service.server.Get(R"(/v1/weights/([^/]+))",
                                 [this](auto const&, auto& response) { this->send(response); });
    }

    int run() { return this->service.run(); }

private:
    void send(httplib::Response& response)
    {
        if (++this->open_downloads > this->options.max_downloads)
        {
            --this->open_downloads;
            response.set_header("Retry-After", "1");
            return answer_json(response, 429, {{"detail", "too many downloads"}});
        }
        response.set_content_provider(
            this->options.size, "application/octet-stream",
            [this](std::size_t, std::size_t length, httplib::DataSink& sink)
            {
                constexpr std::size_t block_size = 64 * 1024;
                std::string const block(std::min(length, block_size), 'w');
                this->limiter.wait_for(block.size());
                return sink.write(block.data(), block.size());
            },
            [this](bool) { --this->open_downloads; });
    }

    http_service service;
    weights_options options;
    rate_limiter limiter;
    std::atomic<int> open_downloads = 0;
};

} // namespace

int run_weights(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake weight store", ' ', "", false);
    weights_options options;
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve", true, "", "HOST:PORT",
                                        command);
    TCLAP::ValueArg<std::uint64_t> rate("", "bytes-per-second", "total rate of all downloads",
                                        false, options.bytes_per_second, "N", command);
    TCLAP::ValueArg<std::uint64_t> size("", "size", "size of a version in bytes", false,
                                        options.size, "N", command);
    TCLAP::ValueArg<int> parallel("", "parallel", "number of concurrent downloads", false,
                                  options.max_downloads, "N", command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    options = {rate.getValue(), size.getValue(), parallel.getValue()};
    return weight_store(listen.getValue(), options).run();
}

} // namespace lagoonladder::fakes
