#include <lagoonladder/version/renewal.hpp>

namespace lagoonladder::version
{

namespace
{

/// Time before `finish_by` that is reserved for committing the last update.
constexpr duration commit_margin = milliseconds(1500);

update_move make_update(move_record const& record, renewal_endpoints const& endpoints,
                        move_state state, std::string reason)
{
    update_move change;
    change.service = record.service;
    change.generation = record.generation;
    change.state = state;
    change.share = state == move_state::finished ? 1 : 0;
    change.reason = std::move(reason);
    change.figures = {{"earlier_endpoints", std::to_string(endpoints.earlier)},
                      {"later_endpoints", std::to_string(endpoints.later)}};
    return change;
}

} // namespace

std::optional<update_move> decide_renewal(wall_time now, move_record const& record,
                                          renewal_endpoints const& endpoints)
{
    // The service had endpoints when the order was given. If all of them seem to have started
    // later, they have ended since, or a clock is wrong; the new ones have started by the end.
    bool const has_earlier = endpoints.earlier > 0;
    bool const is_replaced = endpoints.later > 0 && endpoints.later >= endpoints.earlier;
    bool const is_over = now >= record.finish_by - commit_margin;
    if (is_replaced && (has_earlier || is_over))
        return make_update(record, endpoints, move_state::finished, "the version is in service");
    if (is_over)
        return make_update(record, endpoints, move_state::reversed,
                           "too few endpoints have started since the order");
    return std::nullopt;
}

} // namespace lagoonladder::version
