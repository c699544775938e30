#include <lagoonladder/observability/log.hpp>

#include <atomic>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace lagoonladder::observability
{

namespace
{

namespace sinks = boost::log::sinks;

std::atomic<std::uint64_t> dropped_lines = 0;

/// Overflow strategy of the queue: drops a line when the queue is full, and counts it.
class drop_and_count_on_overflow
{
public:
    template <class Lock>
    static bool on_overflow(boost::log::record_view const&, Lock&)
    {
        ++dropped_lines;
        return false;
    }

    static void on_queue_space_available() {}
    static void interrupt() {}
};

using text_sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<max_waiting_log_lines, drop_and_count_on_overflow>>;

boost::shared_ptr<text_sink> installed_sink;

} // namespace

void start_log(std::ostream& out)
{
    auto const backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
    backend->auto_flush(true);
    installed_sink = boost::make_shared<text_sink>(backend);
    installed_sink->set_formatter(boost::log::expressions::stream
                                  << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(installed_sink);
}

void start_log()
{
    start_log(std::cout);
}

std::uint64_t take_dropped_log_lines()
{
    return dropped_lines.exchange(0);
}

void write_log_line(std::string const& line)
{
    // Without a sink Boost.Log would print through its default sink in another format.
    if (!installed_sink)
        return;
    boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

void stop_log()
{
    if (!installed_sink)
        return;
    boost::log::core::get()->remove_sink(installed_sink);
    installed_sink->stop();
    installed_sink->flush();
    installed_sink.reset();
}

} // namespace lagoonladder::observability
