#include "measurement.hpp"
#include "rows.hpp"
#include "sections.hpp"

namespace lagoonladder::capacity
{

namespace
{

constexpr std::size_t tokens_per_batch = 32;

request::accepted_request make_request(std::size_t number)
{
    request::accepted_request out;
    out.owner = vm_id("vm-00002");
    out.companion = vm_id("vm-00001");
    out.id = request::make_request_id(out.owner, out.companion, number);
    out.account = account_id("account-00001");
    out.service = service_name("advisor");
    out.version = version_name("v12");
    out.path = "/v1/chat/completions";
    out.body = std::string(1024, 'p');
    return out;
}

request::progress_batch make_batch(std::size_t first)
{
    request::progress_batch out;
    out.offset = token_offset(first);
    out.tokens.assign(tokens_per_batch, " token");
    return out;
}

} // namespace

void measure_companion()
{
    constexpr std::size_t requests = 2000;
    constexpr std::size_t batches = 10;
    auto const before = resident_kib();
    request::request_journal journal(vm_id("vm-00001"));
    std::size_t next = 0;
    auto const hold_time = median_microseconds(
        8, requests / 8, [&] { journal.hold(start_time(), make_request(next++)); });
    std::size_t step = 0;
    auto const progress_time = median_microseconds(
        batches, requests,
        [&]
        {
            auto const id = make_request(step % requests).id;
            journal.progress(start_time(), id, make_batch(step / requests * tokens_per_batch));
            ++step;
        });
    auto const growth = resident_kib() - before;
    print_figure("companion.hold", "1024-byte body", {{"us", hold_time}});
    print_figure("companion.progress", "32 tokens", {{"us", progress_time}});
    print_figure("companion.memory", "2000 x 320 tokens",
                 {{"growth_kib", static_cast<double>(growth)},
                  {"counted_bytes", journal.bytes()},
                  {"kib_each", static_cast<double>(growth) / requests}});
}

} // namespace lagoonladder::capacity
