#ifndef LAGOONLADDER_PROXY_TESTS_PROXY_FIXTURE_HPP
#define LAGOONLADDER_PROXY_TESTS_PROXY_FIXTURE_HPP

#include <memory>
#include <string>
#include <vector>

#include <lagoonladder/proxy.hpp>

/// How a fake endpoint treats its requests.
enum class endpoint_mode
{
    answer,
    /// 503 with the statement that nothing was run.
    refuse,
    /// 500 of its own.
    fail,
    silent,
    /// The answer comes after `answer_delay`.
    late,
    close_without_answer,
    cut_answer,
    unsigned_answer,
    /// 503 with neither a signature nor the statement that nothing was run.
    unsigned_refusal,
    /// An answer to an earlier request comes first.
    stale_answer_first,
    /// The first run ends within its second event.
    cut_stream_once
};

/// Speaks the header fields of test_codec.
class fake_endpoint
{
public:
    fake_endpoint(asio::io_context& context, std::string id);

    lagoonladder::network_address address() const;

    std::string id;
    endpoint_mode mode = endpoint_mode::answer;
    bool streams = false;
    std::vector<lagoonladder::http::request_head> requests;
    std::vector<std::string> bodies;
    int closed_by_peer = 0;
    std::chrono::milliseconds answer_delay{400};

private:
    struct connection;

    void accept();
    void read(std::shared_ptr<connection> const& peer);
    void take(std::shared_ptr<connection> const& peer);
    void answer_later(std::shared_ptr<connection> const& peer,
                      lagoonladder::http::request_head const& head);
    void answer_request(connection& peer, lagoonladder::http::request_head const& head);
    void stream(connection& peer, std::string const& request, std::uint64_t after);

    asio::ip::tcp::acceptor acceptor;
};

class test_codec : public lagoonladder::proxy::call_codec
{
public:
    lagoonladder::proxy::incoming_call
    decode(lagoonladder::http::request_head const& head) const override;
    lagoonladder::http::request_head
    encode(lagoonladder::http::request_head const& received,
           lagoonladder::proxy::forwarding_fields const& fields) const override;
    lagoonladder::proxy::endpoint_answer
    decode(lagoonladder::http::response_head const& head) const override;
    lagoonladder::http::response_head
    relay(lagoonladder::http::response_head const& head) const override;
};

class test_control : public lagoonladder::proxy::traffic_control
{
public:
    test_control();

    std::shared_ptr<lagoonladder::proxy::traffic_view const> view() const override
    {
        return this->current;
    }
    void record(lagoonladder::version::traffic_sample const&) override {}
    void count_usage(lagoonladder::account_id const& account) override { ++this->usage[account]; }
    void set_demand(std::map<lagoonladder::account_id, double> told_demand) override
    {
        this->demand = std::move(told_demand);
    }
    void
    borrow_tokens(lagoonladder::account_id const& account, double missing, lagoonladder::duration,
                  std::function<void(lagoonladder::request::lending_outcome const&)> done) override
    {
        this->borrowed.push_back({account, missing});
        done({this->lent, this->lent < missing && this->others_answer});
    }
    void broadcast_prompt(lagoonladder::proxy::prompt_notice const& news) override
    {
        this->told.push_back(news);
    }

    template <class Change>
    void change(Change const& change)
    {
        auto next = std::make_shared<lagoonladder::proxy::traffic_view>(*this->current);
        change(*next);
        this->current = next;
    }

    std::map<lagoonladder::account_id, int> usage;
    /// As it was told last.
    std::map<lagoonladder::account_id, double> demand;
    std::vector<std::pair<lagoonladder::account_id, double>> borrowed;
    /// What other entries give at each request for tokens.
    double lent = 0;
    bool others_answer = true;
    std::vector<lagoonladder::proxy::prompt_notice> told;

private:
    std::shared_ptr<lagoonladder::proxy::traffic_view const> current;
};

/// Takes the answer of one call.
class call_observer : public lagoonladder::http::response_observer
{
public:
    lagoonladder::http::head_action on_head(lagoonladder::http::response_head const& head) override;
    void on_body(std::string_view bytes) override { this->body += bytes; }
    void on_end() override { this->ended = true; }
    void on_failure(lagoonladder::http::call_failure kind, std::string const&) override
    {
        this->failure = kind;
    }

    unsigned status() const { return this->heads.empty() ? 0 : this->heads[0].status; }
    bool is_over() const { return this->ended || this->failure; }

    std::vector<lagoonladder::http::response_head> heads;
    std::string body;
    bool ended = false;
    std::optional<lagoonladder::http::call_failure> failure;
};

struct pending_call
{
    std::shared_ptr<call_observer> observer;
    std::shared_ptr<lagoonladder::http::client_call> call;
};

/// A proxy with its server on one event loop, and fake endpoints on the same loop.
///
/// Routes: /plain/ idempotent with two attempts, /once/ at most once, /stream/ a stream
/// that may continue, /stream-once/ one that may not. All time out after 300 ms but the
/// first and third, after 2 s. Calls with "key-1" belong to "account".
class proxy_fixture
{
public:
    explicit proxy_fixture(lagoonladder::proxy::proxy_options const& options = {1.0, 100, {}});

    fake_endpoint& add_endpoint(std::string const& service, std::string const& id);

    pending_call start_call(std::string const& path, std::string const& id,
                            std::string const& body = "", std::string const& key = "key-1");
    /// Runs the loop until the call is over; fails after five seconds.
    call_observer call(std::string const& path, std::string const& id, std::string const& body = "",
                       std::string const& key = "key-1");
    void run_until(std::function<bool()> const& condition);

    asio::io_context context;
    lagoonladder::system_clock time;
    lagoonladder::null_event_sink events;
    lagoonladder::observability::metrics metrics;
    test_codec codec;
    test_control control;
    lagoonladder::http::client upstream;
    lagoonladder::http::client caller;
    lagoonladder::proxy::call_proxy proxy;
    lagoonladder::network_address address;
    lagoonladder::http::server server;
    std::vector<std::unique_ptr<fake_endpoint>> endpoints;
};

#endif
