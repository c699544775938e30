#ifndef LAGOONLADDER_DAEMON_NOTICE_CODEC_HPP
#define LAGOONLADDER_DAEMON_NOTICE_CODEC_HPP

#include <string>
#include <variant>
#include <vector>

#include <lagoonladder/proxy.hpp>

namespace lagoonladder::daemon
{

using evidence_list = std::vector<request::part_evidence>;
/// Holds std::monostate when the cluster token differs.
using decoded_notice = std::variant<std::monostate, proxy::prompt_notice, evidence_list>;

/// Encodes a datagram as MessagePack.
std::string encode_notice(std::string const& token, proxy::prompt_notice const& notice);

/// Encodes evidence as datagrams of at most `max_bytes` each. Times are encoded as ages, since the
/// monotonic clocks of VMs differ. A part whose evidence alone is longer is left out.
std::vector<std::string> encode_notices(std::string const& token, time_point now,
                                        evidence_list const& evidence, std::size_t max_bytes);

/// Throws parse_error on malformed bytes.
decoded_notice decode_notice(std::string const& token, time_point now, std::string_view bytes);

} // namespace lagoonladder::daemon

#endif
