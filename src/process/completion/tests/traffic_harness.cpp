#include "traffic_harness.hpp"

namespace lagoonladder::completion
{

namespace
{

std::string account_section(std::string const& name, std::string const& key)
{
    return "[account " + name + "]\nkey_sha256 = " + version::sha256_hex(key) + "\n";
}

std::string const base_configuration =
    "[service advisor]\nkind = model_engine\nversion = v1\nprogress_timeout = 300 ms\n"
    "default_timeout = 10 s\n"
    "[service booking]\nkind = plain\nversion = v1\nprogress_timeout = 500 ms\n"
    "default_timeout = 3 s\nretry_budget = 0.5\n"
    "[route book]\nservice = booking\nmethod = POST\npath = /bookings\nidempotent = false\n" +
    account_section("council", "key-1") + account_section("harbour", "key-2");

} // namespace

void recorded_events::emit(severity level, std::string name, std::vector<event_field> fields)
{
    std::lock_guard const lock(this->mutex);
    this->events.push_back({{}, {}, level, std::move(name), std::move(fields)});
}

int recorded_events::count(std::string const& name) const
{
    std::lock_guard const lock(this->mutex);
    return static_cast<int>(std::count_if(this->events.begin(), this->events.end(),
                                          [&](auto const& emitted)
                                          { return emitted.name == name; }));
}

std::string recorded_events::field(std::string const& name, std::string const& key) const
{
    std::lock_guard const lock(this->mutex);
    for (auto const& emitted : this->events)
        for (auto const& item : emitted.fields)
            if (emitted.name == name && item.key == key)
                return item.value;
    return {};
}

bool recorded_events::contains_text(std::string const& text) const
{
    std::lock_guard const lock(this->mutex);
    for (auto const& emitted : this->events)
        for (auto const& item : emitted.fields)
            if (item.value.find(text) != std::string::npos)
                return true;
    return false;
}

memory_cluster::memory_cluster()
{
    this->apply_configuration(base_configuration);
}

void memory_cluster::apply_configuration(std::string const& text)
{
    version::apply_configuration body;
    body.base = this->state.shared()->generation;
    body.file = "test.ini";
    body.text = text;
    body.operation = operation_id(std::to_string(this->index));
    auto const result = std::get<version::apply_result>(this->commit(body));
    invariant(result.outcome == version::apply_outcome::stored, result.detail);
}

version::command_result memory_cluster::commit(version::command_body body)
{
    std::lock_guard const lock(this->mutex);
    return this->state.apply(++this->index, {this->time.wall_now(), std::move(body)});
}

std::optional<request::at_most_once_reply>
memory_cluster::record_of(request::at_most_once_key const& key)
{
    std::lock_guard const lock(this->mutex);
    return this->state.once_records().find(key);
}

void memory_cluster::add(connection::endpoint_record const& record)
{
    std::lock_guard const lock(this->mutex);
    this->endpoints[record.id] = record;
}

void memory_cluster::set_leaving(endpoint_id const& id)
{
    std::lock_guard const lock(this->mutex);
    this->endpoints.at(id).state = connection::endpoint_state::leaving;
}

std::shared_ptr<connection::entry_directory const>
memory_control_plane::make_directory(control_view const& view) const
{
    connection::entry_record own;
    own.vm = this->self;
    for (auto const& entry : view.entries)
    {
        if (entry.vm == this->self)
            own = entry;
    }
    if (view.leaving)
        own.state = connection::entry_state::leaving;
    auto directory = std::make_shared<connection::entry_directory>(own);
    directory->merge(this->cluster.time.now(), view.entries);
    return directory;
}

std::shared_ptr<control::control_view const> memory_control_plane::view() const
{
    auto view = std::make_shared<control::control_view>();
    std::lock_guard const lock(this->cluster.mutex);
    view->ready = this->cluster.is_ready;
    view->quorum_recent = this->cluster.has_quorum;
    view->leaving = this->cluster.leaving.count(this->self) > 0;
    view->shared = this->cluster.state.shared();
    for (auto const& [id, record] : this->cluster.endpoints)
        view->endpoints[record.service].push_back(record);
    for (auto const& [id, record] : this->cluster.entries)
        view->entries.push_back(record);
    view->directory = this->make_directory(*view);
    return view;
}

void memory_control_plane::propose(version::command_body body, duration, proposal_handler done)
{
    if (!this->cluster.has_quorum)
        return done({});
    if (this->cluster.is_silent)
    {
        std::lock_guard const lock(this->mutex);
        this->unanswered_handlers.push_back(std::move(done));
        return;
    }
    auto result = this->cluster.commit(std::move(body));
    if (this->cluster.loses_next_reply.exchange(false))
    {
        this->cluster.is_silent = this->cluster.is_silent_after_loss.load();
        return done({});
    }
    done({proposal_status::committed, std::move(result)});
}

void memory_control_plane::find_once(request::at_most_once_key const& key, duration,
                                     find_handler done)
{
    if (!this->cluster.has_quorum)
        return done(find_status::unavailable, std::nullopt);
    auto const found = this->cluster.record_of(key);
    done(found ? find_status::found : find_status::not_found, found);
}

void memory_control_plane::remove_endpoint(endpoint_id const& id, acknowledgement_handler done)
{
    {
        std::lock_guard const lock(this->cluster.mutex);
        this->cluster.endpoints.erase(id);
    }
    done(true);
}

void memory_control_plane::record_traffic(version::traffic_sample const& sample)
{
    std::lock_guard const lock(this->mutex);
    this->recorded_samples.push_back(sample);
}

std::vector<version::traffic_sample> memory_control_plane::samples() const
{
    std::lock_guard const lock(this->mutex);
    return this->recorded_samples;
}

void memory_control_plane::set_leaving(vm_id const& vm)
{
    std::lock_guard const lock(this->cluster.mutex);
    this->cluster.leaving.insert(vm);
    this->cluster.entries[vm].state = connection::entry_state::leaving;
}

test_entry::test_entry(memory_cluster& shared_cluster, recorded_events& events,
                       std::string const& name, std::string const& data_centre)
    : cluster(shared_cluster)
    , control(shared_cluster, vm_id(name))
{
    this->config.vm = vm_id(name);
    this->config.data_centre = data_centre_id(data_centre);
    this->config.http = network_address("127.0.0.1:0");
    this->config.endpoint_token = "endpoint-secret";
    this->config.cluster_token = "cluster-secret";
    this->config.max_body_bytes = 64 * 1024;
    this->server = std::make_unique<traffic_server>(this->config, this->control, events,
                                                    this->metrics, this->time, 1);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&this->server->requests_service());
    this->rpc = builder.BuildAndStart();
    this->server->start();
    connection::entry_record record;
    record.vm = this->config.vm;
    record.data_centre = this->config.data_centre;
    record.http = this->server->address();
    record.control = network_address("127.0.0.1:" + std::to_string(port));
    std::lock_guard const lock(shared_cluster.mutex);
    shared_cluster.entries[record.vm] = record;
}

test_entry::~test_entry()
{
    this->rpc->Shutdown(std::chrono::system_clock::now() + seconds(1));
    this->server->stop();
}

void test_entry::crash()
{
    {
        std::lock_guard const lock(this->cluster.mutex);
        this->cluster.entries.erase(this->config.vm);
    }
    this->rpc->Shutdown(std::chrono::system_clock::now());
}

httplib::Client test_entry::client() const
{
    return httplib::Client("http://" + this->server->address().value());
}

std::string expected_text(std::uint64_t first, std::uint64_t count)
{
    std::string text;
    for (auto offset = first; offset < count; ++offset)
        text += "t" + std::to_string(offset) + " ";
    return text;
}

nlohmann::json chat_body()
{
    return {{"model", "advisor"},
            {"stream", true},
            {"max_tokens", 20},
            {"messages", nlohmann::json::array({{{"role", "user"}, {"content", "hello"}}})}};
}

httplib::Headers key_header(std::string const& key)
{
    return {{"Authorization", "Bearer " + key}};
}

namespace
{

received_stream run_stream(test_entry const& entry, httplib::Request request)
{
    received_stream stream;
    event_stream_parser parser;
    std::string body;
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        body.append(data, size);
        return parser.feed({data, size},
                           [&](std::string_view event)
                           {
                               if (event == "[DONE]")
                                   stream.is_done = true;
                               auto const json = nlohmann::json::parse(event, nullptr, false);
                               if (json.is_object() && json.contains("choices"))
                                   stream.text +=
                                       json["choices"][0]["delta"].value("content", std::string());
                               return true;
                           });
    };
    auto client = entry.client();
    client.set_read_timeout(seconds(15));
    httplib::Response response;
    auto failure = httplib::Error::Success;
    client.send(request, response, failure);
    stream.status = response.status;
    stream.request_id = response.get_header_value("X-Request-Id");
    if (stream.status != 200)
        stream.refusal = nlohmann::json::parse(body, nullptr, false);
    for (auto at = body.find("id: "); at != std::string::npos; at = body.find("\nid: ", at))
        stream.ids.push_back(
            std::strtoull(body.c_str() + (at += body[at] == '\n' ? 5 : 4), nullptr, 10));
    return stream;
}

} // namespace

received_stream read_completion(test_entry const& entry, nlohmann::json const& body,
                                httplib::Headers headers)
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.headers = std::move(headers);
    if (request.headers.count("Authorization") == 0)
        request.headers.merge(key_header());
    return run_stream(entry, request);
}

received_stream read_request(test_entry const& entry, std::string const& id, std::uint64_t offset)
{
    httplib::Request request;
    request.method = "GET";
    request.path = "/v1/requests/" + id + "?offset=" + std::to_string(offset);
    request.headers = key_header();
    return run_stream(entry, request);
}

bool eventually(std::function<bool()> const& condition)
{
    for (int i = 0; i < 500; ++i)
    {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

} // namespace lagoonladder::completion
