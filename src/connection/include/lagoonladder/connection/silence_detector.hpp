#ifndef LAGOONLADDER_CONNECTION_SILENCE_DETECTOR_HPP
#define LAGOONLADDER_CONNECTION_SILENCE_DETECTOR_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

/// Number of a connection, given by its owner.
using connection_id = strong_number<struct connection_id_tag>;

struct silence_options
{
    /// Used when a connection states no timeout of its own.
    duration progress_timeout = seconds(2);
    /// Idle pooled connections are closed after this time.
    duration idle_timeout = seconds(10);
};

struct silent_connections
{
    /// In use without a byte for the progress timeout; abandon the attempt and open a new one.
    std::vector<connection_id> silent;
    /// Idle in the pool for too long; close them.
    std::vector<connection_id> idle;
};

/// Finds connections on which nothing arrives any more although they are open.
/// Not safe for concurrent calls.
class silence_detector
{
public:
    explicit silence_detector(silence_options options = {});

    /// The connection is in use from now on and has to make progress.
    void start(time_point now, connection_id id, std::optional<duration> timeout = std::nullopt);

    /// A byte arrived. False when the connection is not in use, for example because it was
    /// given up before.
    bool progress(time_point now, connection_id id);

    /// The connection went back to the pool. False when it is not known and must be closed.
    bool pool(time_point now, connection_id id);

    /// The connection was closed.
    void close(connection_id id);

    /// Connections to abandon or close; they are no longer known afterwards.
    silent_connections expire(time_point now);

    /// When expire() has something to do next.
    std::optional<time_point> next_expiry() const;

    /// Whether a pooled connection may be used again; false when it is idle for too long.
    bool is_reusable(time_point now, connection_id id) const;

    std::size_t size() const { return this->connections.size(); }

private:
    struct watched
    {
        bool in_use = true;
        duration timeout{};
        time_point last{};
    };

    silence_options options;
    std::map<connection_id, watched> connections;
};

} // namespace lagoonladder::connection

#endif
