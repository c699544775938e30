#include "exposure_budget.hpp"

#include <algorithm>

namespace lagoonladder::version
{

double exposure_budget::limit_so_far(sent_requests const& sent) const
{
    return this->limit.share * sent.total + this->limit.requests;
}

double exposure_budget::max_share(sent_requests const& sent, double requests_per_second,
                                  duration remaining_time, double fraction) const
{
    auto const expected_requests = requests_per_second * std::max(to_seconds(remaining_time), 0.0);
    auto const budget = this->limit_so_far({sent.candidate, sent.total + expected_requests});
    auto const unused = fraction * budget - sent.candidate;
    if (unused <= 0)
        return 0;
    return unused >= expected_requests ? 1 : unused / expected_requests;
}

} // namespace lagoonladder::version
