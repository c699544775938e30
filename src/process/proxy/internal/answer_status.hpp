#ifndef LAGOONLADDER_PROXY_ANSWER_STATUS_HPP
#define LAGOONLADDER_PROXY_ANSWER_STATUS_HPP

namespace lagoonladder::proxy
{

/// Least status of an answer that does not serve the call.
constexpr unsigned min_failure_status = 500;

inline bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Whether a caller reads the status as a statement that its call was not executed and will not be.
inline bool means_not_executed(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace lagoonladder::proxy

#endif
