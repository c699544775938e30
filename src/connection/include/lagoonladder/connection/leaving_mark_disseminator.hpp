#ifndef LAGOONLADDER_CONNECTION_LEAVING_MARK_DISSEMINATOR_HPP
#define LAGOONLADDER_CONNECTION_LEAVING_MARK_DISSEMINATOR_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::connection
{

struct leaving_mark_disseminator_options
{
    /// Delay before the first round of a mark. The marks of one reclaim arrive within a few
    /// milliseconds and then share a message.
    duration batching_delay = milliseconds(10);
    /// Minimum time between two rounds. Marks added in between wait for the next round.
    duration round_interval = milliseconds(100);
    /// Maximum number of messages per round.
    std::size_t fan_out = 3;
    /// Number of entries to which this entry sends a mark. Each of them forwards it in the same
    /// way, so that an entry receives a mark 12 times on average and misses it in 1 of 160,000
    /// cases. With 9, some of 350 entries missed one of 60 marks and received it only with the
    /// next full exchange.
    std::size_t sends_per_mark = 12;
    /// How long a mark is kept, and sent to other entries when messages fail.
    duration mark_retention = seconds(2);
};

enum class mark_kind
{
    entry,
    endpoint
};

/// Row of an entry or endpoint that became leaving.
struct leaving_mark
{
    mark_kind kind = mark_kind::endpoint;
    std::string id;
    /// The row as encoded in messages.
    std::string row;
};

/// Marks to be sent to one peer.
struct mark_message
{
    vm_id to;
    std::vector<std::shared_ptr<leaving_mark const>> marks;
};

/// Decides when and to which entries this entry sends new leaving marks (rumor-mongering gossip).
/// A mark is sent to a few random entries that are not known to have it, and each entry that
/// receives it for the first time does the same.
class leaving_mark_disseminator
{
public:
    explicit leaving_mark_disseminator(leaving_mark_disseminator_options options = {});

    /// Adds a mark that was set by this entry or received from `source`.
    void add(time_point now, leaving_mark mark, vm_id const& source = {});

    /// Records that the peer has the mark, so that the mark is not sent to it.
    void record_known(vm_id const& peer, mark_kind kind, std::string const& id);

    /// Time at which `round` is to be called; no value while no mark is to be sent.
    std::optional<time_point> next_round() const;

    /// Starts a round and returns its messages, addressed to random entries of `peers`.
    std::vector<mark_message> round(time_point now, std::vector<vm_id> peers,
                                    random_source& random);

    /// Returns the reply to a peer that sent marks: all marks that it is not known to have.
    mark_message reply_for(time_point now, vm_id const& peer);

    /// Records that a message did not arrive, so that its marks are sent again.
    void record_failure(mark_message const& message);

private:
    struct pending_mark
    {
        std::shared_ptr<leaving_mark const> mark;
        time_point added_at{};
        /// Messages with the mark, without those known to have failed.
        std::size_t sent_count = 0;
        /// Peers that have the mark or to which it was sent.
        std::set<vm_id> known_by;
    };

    bool is_fully_sent(pending_mark const& pending) const;
    /// Returns the marks that the peer is not known to have, and records them as sent to it.
    mark_message take_marks(vm_id const& peer, bool skip_fully_sent);
    void discard_expired(time_point now);

    leaving_mark_disseminator_options options;
    std::vector<pending_mark> marks;
    std::optional<time_point> last_round;
};

} // namespace lagoonladder::connection

#endif
