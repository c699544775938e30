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
    server.Get("/v1/orders",
               [this](httplib::Request const&, httplib::Response& response)
               {
                   std::lock_guard<std::mutex> const lock(this->mutex);
                   nlohmann::json const body{{"orders", this->accepted_orders},
                                             {"refused", this->refused_count}};
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
        bool const is_repeated =
            std::any_of(this->accepted_orders.begin(), this->accepted_orders.end(),
                        [&](auto const& earlier) { return earlier["order_id"] == id; });
        if (is_repeated)
        {
            response.set_content(R"({"outcome":"repeated"})", "application/json");
            return;
        }
        if (this->check_fencing && token <= this->highest_token)
        {
            ++this->refused_count;
            response.status = 409;
            response.set_content(R"({"outcome":"stale"})", "application/json");
            return;
        }
        this->highest_token = std::max(this->highest_token, token);
        this->accepted_orders.push_back(order);
    }
    log_line("order.accepted", {{"id", id}, {"action", order.value("action", "")}});
    this->execute(order);
    response.set_content(R"({"outcome":"accepted"})", "application/json");
}

} // namespace lagoonladder::fakes
