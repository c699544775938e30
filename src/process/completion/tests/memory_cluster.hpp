#ifndef LAGOONLADDER_COMPLETION_TESTS_MEMORY_CLUSTER_HPP
#define LAGOONLADDER_COMPLETION_TESTS_MEMORY_CLUSTER_HPP

#include <atomic>
#include <mutex>
#include <set>

#include <lagoonladder/completion/traffic_server.hpp>

namespace lagoonladder::completion
{

/// In-memory control state and directories, shared by all entries of a test.
struct memory_cluster
{
    memory_cluster();
    /// Replaces the configuration; the text must be valid.
    void apply_configuration(std::string const& text);
    void add(connection::endpoint_record const& record);
    void set_leaving(endpoint_id const& id);
    version::command_result commit(version::command_body body);
    std::optional<request::at_most_once_reply> record_of(request::at_most_once_key const& key);

    std::mutex mutex;
    version::control_state state;
    std::uint64_t index = 0;
    std::map<endpoint_id, connection::endpoint_record> endpoints;
    std::map<vm_id, connection::entry_record> entries;
    std::set<vm_id> leaving;
    std::atomic<bool> has_quorum = true;
    /// Whether the next command is committed but its reply is lost.
    std::atomic<bool> loses_next_reply = false;
    /// Whether a lost reply sets `is_silent`.
    std::atomic<bool> is_silent_after_loss = false;
    /// Whether commands receive no reply.
    std::atomic<bool> is_silent = false;
    std::atomic<bool> is_ready = true;
    system_clock time;
};

} // namespace lagoonladder::completion

#endif
