#include <catch2/catch.hpp>

#include "order_ages.hpp"

using namespace lagoonladder;
using daemon::order_ages;

namespace
{

version::move_record make_move(std::string const& service, std::uint64_t number)
{
    version::move_record move;
    move.service = service_name(service);
    move.number = number;
    return move;
}

} // namespace

TEST_CASE("the age of an order counts from when its number was first known")
{
    // Guards against an order that is taken for a resent one because a clock was set, and against
    // one that is taken for new because an earlier order was known for long.
    time_point const start{seconds(100)};
    order_ages orders;
    service_name const service("s");
    orders.update(start, {make_move("s", 3), make_move("t", 9)});
    orders.update(start + seconds(2), {make_move("s", 3), make_move("t", 9)});
    CHECK(orders.age(start + seconds(5), service, 3) == seconds(5));
    orders.update(start + seconds(6), {make_move("s", 3), make_move("s", 7)});
    CHECK(orders.age(start + seconds(7), service, 7) == seconds(1));
    CHECK(orders.age(start + seconds(7), service, 3) == duration(0));
    CHECK(orders.age(start + seconds(7), service_name("u"), 0) == duration(0));
}
