#ifndef LAGOONLADDER_HTTP_HPP
#define LAGOONLADDER_HTTP_HPP

/// Public header of the HTTP library: an asynchronous HTTP/1.1 server and client that run all
/// connections on one event loop instead of one thread per connection.

#include <lagoonladder/http/client.hpp>
#include <lagoonladder/http/message.hpp>
#include <lagoonladder/http/request_memory.hpp>
#include <lagoonladder/http/server.hpp>

#endif
