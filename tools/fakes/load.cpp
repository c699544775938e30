#include "load.hpp"

#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

#include "command.hpp"
#include "sse_reader.hpp"
#include "token_text.hpp"

namespace lagoonladder::fakes
{

namespace
{

struct load_options
{
    std::vector<std::string> targets;
    int streams = 1;
    int requests = 1;
    /// Requests per second; 0 sends as fast as possible.
    double rate = 0;
    int max_tokens = 32;
    int prompt_words = 32;
    std::string key;
    std::string model;
    std::string priority;
    int timeout_seconds = 30;
    bool whole_responses = false;
};

struct load_totals
{
    std::vector<double> first_token_ms;
    std::vector<double> total_ms;
    std::uint64_t tokens = 0;
    std::uint64_t errors = 0;
    std::uint64_t incomplete_responses = 0;
    std::uint64_t wrong_responses = 0;
    /// Number of failed requests by status code or connection error.
    std::map<std::string, std::uint64_t> problems;
};

struct request_result
{
    double first_token_ms = 0;
    double total_ms = 0;
    std::uint64_t tokens = 0;
    bool is_complete = false;
    bool is_correct = true;
    /// Status code or connection error; empty when the status was 200.
    std::string problem;
};

nlohmann::json percentiles(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    auto const at = [&](double fraction)
    {
        auto const index = static_cast<std::size_t>(fraction * double(values.size() - 1) + 0.5);
        return values.empty() ? 0.0 : values[index];
    };
    return {
        {"p50", at(0.5)}, {"p90", at(0.9)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"max", at(1)}};
}

class load_generator
{
public:
    explicit load_generator(load_options initial)
        : options(std::move(initial))
    {
    }

    nlohmann::json run();

private:
    void run_stream(int index);
    request_result send(httplib::Client& client, int number) const;
    std::string make_body(std::string const& content) const;
    void add_result(request_result const& result);

    load_options options;
    system_clock time;
    time_point start_time{};
    std::atomic<int> next_request = 0;
    std::mutex mutex;
    load_totals totals;
};

std::string load_generator::make_body(std::string const& content) const
{
    nlohmann::json body{
        {"model", this->options.model},
        {"messages", nlohmann::json::array({{{"role", "user"}, {"content", content}}})},
        {"max_tokens", this->options.max_tokens},
        {"stream", !this->options.whole_responses}};
    return body.dump();
}

request_result load_generator::send(httplib::Client& client, int number) const
{
    std::string content = "request " + std::to_string(number);
    for (int word = 2; word < this->options.prompt_words; ++word)
        content += " word" + std::to_string(word);
    auto const body = this->make_body(content);
    auto const prompt = prompt_of(nlohmann::json::parse(body));
    sse_reader reader(prompt);
    request_result result;
    std::string text;
    int status = 0;
    auto const begin = this->time.now();
    auto const since_begin = [&] { return to_seconds(this->time.now() - begin) * 1000; };
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + this->options.key},
                       {"Content-Type", "application/json"}};
    if (!this->options.priority.empty())
        request.headers.emplace("X-Priority", this->options.priority);
    request.body = body;
    request.response_handler = [&](httplib::Response const& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (this->options.whole_responses || status != 200)
            text.append(data, size);
        else
            reader.add({data, size});
        if (result.first_token_ms == 0 && (reader.token_count() > 0 || !text.empty()))
            result.first_token_ms = since_begin();
        return true;
    };
    auto const answer = client.send(request);
    result.total_ms = since_begin();
    if (status != 200)
    {
        result.problem = status == 0 ? httplib::to_string(answer.error()) : std::to_string(status);
        return result;
    }
    auto const expected_tokens = static_cast<std::uint64_t>(this->options.max_tokens);
    if (this->options.whole_responses)
    {
        auto const parsed = nlohmann::json::parse(text, nullptr, false);
        result.is_complete = answer && parsed.is_object();
        result.is_correct = !result.is_complete || parsed["choices"][0]["message"]["content"] ==
                                                       answer_text(prompt, 0, expected_tokens);
        result.tokens = result.is_complete ? expected_tokens : 0;
        return result;
    }
    result.tokens = reader.token_count();
    result.is_complete = reader.is_done() && result.tokens == expected_tokens;
    result.is_correct = reader.is_correct() && result.tokens <= expected_tokens;
    return result;
}

void load_generator::add_result(request_result const& result)
{
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->totals.tokens += result.tokens;
    if (!result.problem.empty())
    {
        ++this->totals.errors;
        ++this->totals.problems[result.problem];
        return;
    }
    this->totals.first_token_ms.push_back(result.first_token_ms);
    this->totals.total_ms.push_back(result.total_ms);
    this->totals.incomplete_responses += result.is_complete ? 0 : 1;
    this->totals.wrong_responses += result.is_correct ? 0 : 1;
}

void load_generator::run_stream(int index)
{
    auto const& targets = this->options.targets;
    httplib::Client client("http://" + targets[static_cast<std::size_t>(index) % targets.size()]);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(this->options.timeout_seconds);
    for (int number = this->next_request++; number < this->options.requests;
         number = this->next_request++)
    {
        if (this->options.rate > 0)
            std::this_thread::sleep_for(
                this->start_time + from_seconds(number / this->options.rate) - this->time.now());
        this->add_result(this->send(client, number));
    }
}

nlohmann::json load_generator::run()
{
    this->start_time = this->time.now();
    std::vector<std::thread> threads;
    for (int i = 0; i < this->options.streams; ++i)
        threads.emplace_back([this, i] { this->run_stream(i); });
    for (auto& thread : threads)
        thread.join();
    double const elapsed = to_seconds(this->time.now() - this->start_time);
    auto const answered = this->totals.total_ms.size();
    return {{"requests", this->options.requests},
            {"seconds", elapsed},
            {"first_token_ms", percentiles(this->totals.first_token_ms)},
            {"total_ms", percentiles(this->totals.total_ms)},
            {"requests_per_second", double(answered) / elapsed},
            {"tokens_per_second", double(this->totals.tokens) / elapsed},
            {"errors", this->totals.errors},
            {"incomplete", this->totals.incomplete_responses},
            {"wrong", this->totals.wrong_responses},
            {"problems", this->totals.problems}};
}

} // namespace

int run_load(int argc, char** argv)
{
    TCLAP::CmdLine command("Load generator; exits with code 1 when a response was missing or wrong",
                           ' ', "", false);
    load_options options;
    TCLAP::MultiArg<std::string> target("", "target", "entry or engine; repeatable", true,
                                        "HOST:PORT", command);
    TCLAP::ValueArg<int> streams("", "streams", "number of concurrent requests", false, 1, "N",
                                 command);
    TCLAP::ValueArg<int> requests("", "requests", "total number of requests", false, 1, "N",
                                  command);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second; 0 sends as fast as possible",
                                 false, 0, "N", command);
    TCLAP::ValueArg<int> max_tokens("", "max-tokens", "tokens per response", false, 32, "N",
                                    command);
    TCLAP::ValueArg<int> words("", "prompt-words", "words per prompt", false, 32, "N", command);
    TCLAP::ValueArg<std::string> key("", "key", "account key", false, "", "KEY", command);
    TCLAP::ValueArg<std::string> model("", "model", "service", false, "advisor", "NAME", command);
    TCLAP::ValueArg<std::string> priority("", "priority", "X-Priority header", false, "", "NAME",
                                          command);
    TCLAP::ValueArg<int> timeout("", "timeout", "read timeout in seconds", false, 30, "S", command);
    TCLAP::SwitchArg whole("", "whole", "complete responses instead of streams", command);
    if (!parse_or_print_help(command, argc, argv))
        return 0;
    options.targets = target.getValue();
    options.streams = streams.getValue();
    options.requests = requests.getValue();
    options.rate = rate.getValue();
    options.max_tokens = max_tokens.getValue();
    options.prompt_words = words.getValue();
    options.key = key.getValue();
    options.model = model.getValue();
    options.priority = priority.getValue();
    options.timeout_seconds = timeout.getValue();
    options.whole_responses = whole.getValue();
    auto const report = load_generator(options).run();
    std::cout << report.dump(2) << "\n";
    bool const all_correct =
        report["errors"] == 0 && report["incomplete"] == 0 && report["wrong"] == 0;
    return all_correct ? 0 : 1;
}

} // namespace lagoonladder::fakes
