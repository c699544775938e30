#include "cloud.hpp"

#include <mutex>

#include "command.hpp"

namespace lagoonladder::fakes
{

namespace
{

/// Fake cloud API: reclaim notices, VMs and prices.
class cloud_api
{
public:
    explicit cloud_api(std::string const& listen)
        : service(listen)
    {
        auto& server = this->service.server;
        server.Get("/v1/notices", [this](auto const&, auto& response)
                   { this->list(response, "notices", this->notices); });
        server.Post("/v1/notices", [this](auto const& request, auto& response)
                    { this->add_notice(nlohmann::json::parse(request.body), response); });
        server.Get("/v1/vms",
                   [this](auto const&, auto& response) { this->list(response, "vms", this->vms); });
        server.Post("/v1/vms", [this](auto const& request, auto& response)
                    { this->start_vm(nlohmann::json::parse(request.body), response); });
        server.Get("/v1/prices", [this](auto const&, auto& response)
                   { this->list(response, "prices", this->prices); });
    }

    int run() { return this->service.run(); }

private:
    void list(httplib::Response& response, char const* name, nlohmann::json const& rows)
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        answer_json(response, 200, {{name, rows}});
    }

    /// Adds a reclaim notice for a {vm} or a {zone}. Its deadline is deadline_us (wall time) or
    /// notice_ms from now.
    void add_notice(nlohmann::json const& body, httplib::Response& response)
    {
        auto const now = system_clock().wall_now().time_since_epoch();
        auto const notice = milliseconds(body.value("notice_ms", 30'000));
        auto const deadline = std::chrono::duration_cast<duration>(now + notice).count();
        nlohmann::json const row{{"vm", body.value("vm", "")},
                                 {"zone", body.value("zone", "")},
                                 {"deadline_us", body.value("deadline_us", deadline)}};
        std::lock_guard<std::mutex> const lock(this->mutex);
        this->notices.push_back(row);
        answer_json(response, 201, row);
    }

    void start_vm(nlohmann::json const& body, httplib::Response& response)
    {
        if (this->service.faults.is_active("refuse_vms"))
            return answer_json(response, 503, {{"detail", "no capacity"}});
        std::lock_guard<std::mutex> const lock(this->mutex);
        nlohmann::json const row{{"vm", "vm-" + std::to_string(this->vms.size() + 1)},
                                 {"zone", body.at("zone")},
                                 {"class", body.at("class")},
                                 {"reclaimable", body.value("reclaimable", false)}};
        this->vms.push_back(row);
        answer_json(response, 201, row);
    }

    http_service service;
    std::mutex mutex;
    nlohmann::json notices = nlohmann::json::array();
    nlohmann::json vms = nlohmann::json::array();
    nlohmann::json prices = nlohmann::json::array(
        {{{"zone", "dc1"}, {"class", "standard"}, {"reclaimable", 0.31}, {"on_demand", 1.0}},
         {{"zone", "dc2"}, {"class", "standard"}, {"reclaimable", 0.36}, {"on_demand", 1.04}},
         {{"zone", "dc3"}, {"class", "standard"}, {"reclaimable", 0.42}, {"on_demand", 1.1}},
         {{"zone", "dc4"}, {"class", "standard"}, {"reclaimable", 0.34}, {"on_demand", 1.02}}});
};

} // namespace

int run_cloud(int argc, char** argv)
{
    TCLAP::CmdLine command("Fake cloud API", ' ', "", false);
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve", true, "", "HOST:PORT",
                                        command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    return cloud_api(listen.getValue()).run();
}

} // namespace lagoonladder::fakes
