#ifndef LAGOONLADDER_CONNECTION_SILENCE_DETECTOR_HPP
#define LAGOONLADDER_CONNECTION_SILENCE_DETECTOR_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

/// Number of a connection, assigned by its owner.
using connection_id = strong_number<struct connection_id_tag>;

struct silence_options
{
    /// Timeout of connections in use that are started without one of their own.
    duration progress_timeout = seconds(2);
    /// Time after which idle pooled connections are closed.
    duration idle_timeout = seconds(10);
};

/// Connections to abandon or close.
struct expired_connections
{
    /// Connections in use that received no byte for their timeout. The attempt is to be abandoned
    /// and repeated on a new connection.
    std::vector<connection_id> silent;
    /// Connections that were idle in the pool for idle_timeout, to be closed.
    std::vector<connection_id> idle;
};

/// Detects connections that are open but deliver no more bytes. Not thread-safe.
class silence_detector
{
public:
    explicit silence_detector(silence_options options = {});

    /// Records that the connection is in use from now on and must make progress.
    void start(time_point now, connection_id id, std::optional<duration> timeout = std::nullopt);

    /// Records that a byte arrived. Returns false when the connection is not in use, for example
    /// because it was abandoned before.
    bool progress(time_point now, connection_id id);

    /// Records that the connection returned to the pool. Returns false when the connection is
    /// unknown and must be closed.
    bool pool(time_point now, connection_id id);

    /// Records that the connection was closed.
    void close(connection_id id);

    /// Removes and returns the connections to abandon or close.
    expired_connections expire(time_point now);

    /// Time at which expire() next has a connection to return.
    std::optional<time_point> next_expiry() const;

    /// Whether a pooled connection may be used again; false after idle_timeout.
    bool is_reusable(time_point now, connection_id id) const;

    std::size_t size() const { return this->connections.size(); }

private:
    struct watched_connection
    {
        bool in_use = true;
        duration timeout{};
        time_point last_activity{};
    };

    silence_options options;
    std::map<connection_id, watched_connection> connections;
};

} // namespace lagoonladder::connection

#endif
