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
    /// Marks of one reclaim arrive within a few milliseconds and share a message.
    duration gather_time = milliseconds(10);
    /// Shortest time between two rounds. Marks that come meanwhile wait for the next.
    duration round_interval = milliseconds(100);
    /// Messages of a round.
    std::size_t fan_out = 3;
    /// Entries that are told of a mark by this one. Each of them passes it on, so that an
    /// entry hears of a mark 12 times in the mean and misses it in 1 of 160,000 cases. With 9,
    /// some of 350 entries missed one of 60 marks, and only the next full exchange told them.
    std::size_t tells_per_mark = 12;
    /// How long a mark is told again after messages that failed.
    duration spread_time = seconds(2);
};

enum class mark_kind
{
    entry,
    endpoint
};

/// The row of an entry or endpoint that became leaving.
struct leaving_mark
{
    mark_kind kind = mark_kind::endpoint;
    std::string id;
    /// The row as messages carry it.
    std::string row;
};

/// Marks for one peer.
struct mark_message
{
    vm_id to;
    std::vector<std::shared_ptr<leaving_mark const>> marks;
};

/// Decides when and to whom an entry tells new leaving marks. A mark is told to a few
/// random entries that are not known to have it; each entry that learns it does the same.
class leaving_mark_disseminator
{
public:
    explicit leaving_mark_disseminator(leaving_mark_disseminator_options options = {});

    /// A mark that was set here or learned from `source`.
    void add(time_point now, leaving_mark mark, vm_id const& source = {});

    /// The peer has the mark, so it is not told.
    void record_known(vm_id const& peer, mark_kind kind, std::string const& id);

    /// When `round` is due; no value while all marks have been told.
    std::optional<time_point> next_round() const;

    /// Messages to send now to some of `peers`.
    std::vector<mark_message> round(time_point now, std::vector<vm_id> peers,
                                    random_source& random);

    /// Marks for a peer that sent its own.
    mark_message reply_for(time_point now, vm_id const& peer);

    /// The message did not arrive; its marks are told to other entries instead.
    void record_failure(mark_message const& message);

private:
    struct spreading_mark
    {
        std::shared_ptr<leaving_mark const> mark;
        time_point since{};
        std::size_t told = 0;
        std::set<vm_id> known_by;
    };

    bool is_told(spreading_mark const& one) const;
    mark_message take(vm_id const& peer, bool only_untold);
    void forget_old(time_point now);

    leaving_mark_disseminator_options options;
    std::vector<spreading_mark> marks;
    std::optional<time_point> last_round;
};

} // namespace lagoonladder::connection

#endif
