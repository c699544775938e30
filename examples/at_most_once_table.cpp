// Uses the at-most-once table without the daemon: of two concurrent attempts of one booking, only
// the first may execute it, and a later attempt receives the stored response.

#include <iostream>

#include <lagoonladder/request.hpp>

using namespace lagoonladder;

int main()
{
    request::at_most_once_table table;
    wall_time now(seconds(1'000'000));
    request::at_most_once_key const key{account_id("office"), service_name("booking"),
                                        idempotency_key("pitch-17")};

    auto const begin = [&](std::string const& attempt)
    {
        return table.begin(
            now, {key, "digest of the body", attempt_id(attempt), now, now + seconds(30)});
    };
    bool const first = begin("first").verdict == request::at_most_once_verdict::granted;
    bool const second = begin("second").verdict == request::at_most_once_verdict::granted;

    table.finish(now, {key, attempt_id("first"),
                       request::stored_answer{201, "application/json", "{\"number\":1}"}});
    auto const resend = begin("third");
    std::cout << "first granted: " << first << ", second granted: " << second
              << ", resend gets: " << (resend.answer ? resend.answer->body : "nothing") << "\n";
    return first && !second && resend.answer ? 0 : 1;
}
