#ifndef LAGOONLADDER_BASE_STRONG_TYPE_HPP
#define LAGOONLADDER_BASE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace lagoonladder
{

/// A value of type Rep that cannot be assigned to or compared with a value of another Tag.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    strong_type() = default;
    explicit strong_type(Rep initial)
        : stored(std::move(initial))
    {
    }

    Rep const& value() const { return this->stored; }

    friend auto operator<=>(strong_type const&, strong_type const&) = default;

    friend std::ostream& operator<<(std::ostream& out, strong_type const& id)
    {
        return out << id.stored;
    }

    friend void to_json(nlohmann::json& out, strong_type const& id) { out = id.stored; }
    friend void from_json(nlohmann::json const& in, strong_type& id) { in.get_to(id.stored); }

private:
    Rep stored{};
};

template <class Tag>
using strong_id = strong_type<Tag, std::string>;

template <class Tag>
using strong_number = strong_type<Tag, std::uint64_t>;

using vm_id = strong_id<struct vm_id_tag>;
using data_centre_id = strong_id<struct data_centre_id_tag>;
using zone_id = strong_id<struct zone_id_tag>;
using service_name = strong_id<struct service_name_tag>;
using route_name = strong_id<struct route_name_tag>;
using version_name = strong_id<struct version_name_tag>;
using endpoint_id = strong_id<struct endpoint_id_tag>;
using account_id = strong_id<struct account_id_tag>;
using request_id = strong_id<struct request_id_tag>;
using attempt_id = strong_id<struct attempt_id_tag>;
using operation_id = strong_id<struct operation_id_tag>;
using idempotency_key = strong_id<struct idempotency_key_tag>;
/// "host:port", where host is an IP address.
using network_address = strong_id<struct network_address_tag>;

using generation = strong_number<struct generation_tag>;
using token_offset = strong_number<struct token_offset_tag>;
using incarnation = strong_number<struct incarnation_tag>;
using heartbeat_count = strong_number<struct heartbeat_count_tag>;

} // namespace lagoonladder

template <class Tag, class Rep>
struct std::hash<lagoonladder::strong_type<Tag, Rep>>
{
    std::size_t operator()(lagoonladder::strong_type<Tag, Rep> const& id) const
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
