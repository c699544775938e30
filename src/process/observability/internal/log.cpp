#include <lagoonladder/observability/log.hpp>

#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace lagoonladder::observability
{

namespace
{

namespace sinks = boost::log::sinks;

using text_sink = sinks::synchronous_sink<sinks::text_ostream_backend>;

boost::shared_ptr<text_sink> installed_sink;

} // namespace

void start_log()
{
    auto const backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    installed_sink = boost::make_shared<text_sink>(backend);
    installed_sink->set_formatter(boost::log::expressions::stream
                                  << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(installed_sink);
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
    installed_sink->flush();
    boost::log::core::get()->remove_sink(installed_sink);
    installed_sink.reset();
}

} // namespace lagoonladder::observability
