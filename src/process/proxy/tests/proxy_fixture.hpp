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
    /// Status 503 with the statement that the call was not executed.
    refuse,
    /// A signed response with the status `failed_status`, which does not state whether the call was
    /// executed.
    fail,
    silent,
    /// The response is sent after `answer_delay`.
    delayed,
    close_without_answer,
    cut_answer,
    answer_without_seal,
    /// Status 503 with neither a signature nor the statement that the call was not executed.
    refusal_without_seal,
    /// A response to an earlier request precedes the right one.
    stale_answer_first,
    /// A refusal of an earlier request precedes the right response.
    stale_refusal_first,
    /// The same, but the refusal states no request id.
    stale_refusal_without_id_first,
    /// The stream of the first attempt is cut within its second event.
    cut_stream_once,
    /// The connection is closed after this many bytes of the response's head.
    cut_head,
    /// The response has neither a length nor chunks and ends with its connection.
    until_close,
    /// The same, but the connection ends after the head.
    until_close_without_body,
    /// The same, but the connection ends within the second event or, in a body, after some bytes.
    until_close_within_event
};

/// An HTTP endpoint on the loopback interface that uses the header fields of test_codec.
class fake_endpoint
{
public:
    fake_endpoint(asio::io_context& context, std::string id);

    lagoonladder::network_address address() const;

    std::string id;
    endpoint_mode mode = endpoint_mode::answer;
    bool is_stream = false;
    std::vector<lagoonladder::http::request_head> requests;
    std::vector<std::string> bodies;
    int closed_by_peer = 0;
    /// Stated in answers, if it is set.
    std::optional<int> cold_ms;
    /// Number of running requests that is stated in answers, if it is set.
    std::optional<int> running;
    std::chrono::milliseconds answer_delay{400};
    /// Status in the mode fail.
    unsigned failed_status = 500;
    /// Bytes that are sent in the mode cut_head.
    std::size_t head_bytes = 0;
    /// The connection is closed after `answer_delay` and the response's head when the prompt has
    /// this part.
    std::optional<std::uint64_t> deadly_part;

private:
    struct connection;

    void accept();
    void read(std::shared_ptr<connection> const& peer);
    void parse_request(std::shared_ptr<connection> const& peer);
    void answer_after_delay(std::shared_ptr<connection> const& peer,
                            lagoonladder::http::request_head const& head);
    void answer_request(connection& peer, lagoonladder::http::request_head const& head);
    void stream(connection& peer, std::string const& request, std::uint64_t after);

    asio::ip::tcp::acceptor acceptor;
};

/// Translates the header fields of the tests: Id, Key, Parts, Expected, Last, Seal and Not-Run.
/// Parts holds the hashes of the prompt's parts, separated by commas.
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

/// A control plane whose view the tests change, and which records what the proxy sends to it.
class test_control : public lagoonladder::proxy::traffic_control
{
public:
    test_control();

    std::shared_ptr<lagoonladder::proxy::traffic_view const> view() const override
    {
        return this->current_view;
    }
    void record(lagoonladder::version::traffic_sample const& sample) override
    {
        this->samples.push_back(sample);
    }
    void count_usage(lagoonladder::account_id const& account) override { ++this->usage[account]; }
    void set_demand(std::map<lagoonladder::account_id, double> new_demand, double /*granted*/,
                    lagoonladder::engine_work_by_service new_work) override
    {
        this->demand = std::move(new_demand);
        this->engine_work = std::move(new_work);
    }
    void
    borrow_tokens(lagoonladder::account_id const& account,
                  lagoonladder::request::token_shortage const& shortage, lagoonladder::duration,
                  std::function<void(lagoonladder::request::lending_outcome const&)> done) override
    {
        this->borrow_requests.push_back({account, shortage.missing});
        done({this->lent_tokens, this->lent_tokens < shortage.missing && this->others_reply});
    }
    void broadcast_prompt(lagoonladder::proxy::prompt_notice const& notice) override
    {
        this->broadcast_prompts.push_back(notice);
    }
    void send_crash_evidence(std::vector<lagoonladder::request::part_evidence> const& evidence,
                             std::optional<std::size_t>) override
    {
        this->sent_evidence.insert(this->sent_evidence.end(), evidence.begin(), evidence.end());
    }

    template <class Change>
    void change(Change const& change)
    {
        auto next = std::make_shared<lagoonladder::proxy::traffic_view>(*this->current_view);
        change(*next);
        this->current_view = next;
    }

    std::vector<lagoonladder::version::traffic_sample> samples;
    std::map<lagoonladder::account_id, int> usage;
    /// Demand as it was published last.
    std::map<lagoonladder::account_id, double> demand;
    lagoonladder::engine_work_by_service engine_work;
    /// The requests for tokens: the account and the missing tokens.
    std::vector<std::pair<lagoonladder::account_id, double>> borrow_requests;
    /// Tokens that the other entries lend at each request.
    double lent_tokens = 0;
    bool others_reply = true;
    std::vector<lagoonladder::proxy::prompt_notice> broadcast_prompts;
    std::vector<lagoonladder::request::part_evidence> sent_evidence;

private:
    std::shared_ptr<lagoonladder::proxy::traffic_view const> current_view;
};

/// Collects the response to one call.
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
/// Routes: /plain/ is idempotent with two attempts, /once/ runs at most once, /stream/ is a stream
/// that may be resumed, /stream-once/ one that may not. /plain/ and /stream/ time out after 2 s,
/// the others after 300 ms. Calls with "key-1" belong to "account".
class proxy_fixture
{
public:
    explicit proxy_fixture(lagoonladder::proxy::proxy_options const& options = {1.0, 100, {}});

    fake_endpoint& add_endpoint(std::string const& service, std::string const& id);

    /// Sends a call without waiting for its response.
    pending_call start_call(std::string const& path, std::string const& id,
                            std::string const& body = "", std::string const& key = "key-1",
                            std::string const& parts = "");
    /// Makes a call and runs the event loop until it is over; fails after five seconds.
    call_observer call(std::string const& path, std::string const& id, std::string const& body = "",
                       std::string const& key = "key-1");
    /// Makes a call whose prompt has the parts, as call().
    call_observer call_with_prompt(std::string const& path, std::string const& id,
                                   std::string const& parts);
    /// Runs the event loop until the condition holds; fails after five seconds.
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
