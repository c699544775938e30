#ifndef LAGOONLADDER_HTTP_HPP
#define LAGOONLADDER_HTTP_HPP

/// Public header of the HTTP library: an asynchronous HTTP/1.1 server and client on one
/// event loop, without a thread for each connection.

#include <lagoonladder/http/client.hpp>
#include <lagoonladder/http/message.hpp>
#include <lagoonladder/http/server.hpp>

#endif
