#include "order_book.hpp"

#include <algorithm>

#include "log_line.hpp"

namespace lagoonladder::fakes
{

order_book::order_book(bool check, std::function<void(nlohmann::json const&)> run)
    : check_fencing(check)
    , execute(std::move(run))
{
}

void order_book::install(httplib::Server& server)
{
    server.Post("/v1/orders", [this](httplib::Request const& request, httplib::Response& response)
                { this->handle(request, response); });
    server.Get(
        "/v1/orders",
        [this](httplib::Request const&, httplib::Response& response)
        {
            std::lock_guard<std::mutex> const lock(this->mutex);
            nlohmann::json const body{{"orders", this->accepted}, {"refused", this->refused}};
            response.set_content(body.dump(), "application/json");
        });
}

void order_book::handle(httplib::Request const& request, httplib::Response& response)
{
    auto const order = nlohmann::json::parse(request.body);
    auto const id = order.at("order_id").get<std::string>();
    std::pair const token(order.at("term").get<std::uint64_t>(),
                          order.at("sequence").get<std::uint64_t>());
    {
        std::lock_guard<std::mutex> const lock(this->mutex);
        bool const repeated = std::any_of(this->accepted.begin(), this->accepted.end(),
                                          [&](auto const& old) { return old["order_id"] == id; });
        if (repeated)
        {
            response.set_content(R"({"outcome":"repeated"})", "application/json");
            return;
        }
        if (this->check_fencing && token <= this->highest)
        {
            ++this->refused;
            response.status = 409;
            response.set_content(R"({"outcome":"stale"})", "application/json");
            return;
        }
        this->highest = std::max(this->highest, token);
        this->accepted.push_back(order);
    }
    log_line("order.accepted", {{"id", id}, {"action", order.value("action", "")}});
    this->execute(order);
    response.set_content(R"({"outcome":"accepted"})", "application/json");
}

} // namespace lagoonladder::fakes
