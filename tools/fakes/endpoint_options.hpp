#ifndef LAGOONLADDER_FAKES_ENDPOINT_OPTIONS_HPP
#define LAGOONLADDER_FAKES_ENDPOINT_OPTIONS_HPP

#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include <lagoonladder/base.hpp>

namespace lagoonladder::fakes
{

/// Splits a comma-separated list and drops empty items.
std::vector<std::string> split_list(std::string const& text);

/// Description of an endpoint and the entries that it is announced to.
struct endpoint_options
{
    std::string listen;
    /// Announced address; differs from `listen` when callers connect through a relay.
    std::string address;
    std::vector<std::string> entries;
    std::string service;
    std::string version;
    std::string id;
    std::string vm;
    std::string data_centre;
    std::string zone;
    std::string machine_class;
    bool reclaimable = false;
    /// Whether the endpoint refuses orders with a stale fencing token.
    bool checks_fencing = false;
    std::string token;
    /// Time for which the endpoint still accepts requests after it announced that it leaves.
    duration leave_grace{};
};

/// Command line options of all endpoints.
class endpoint_arguments
{
public:
    explicit endpoint_arguments(TCLAP::CmdLine& command);
    endpoint_options parsed() const;

private:
    TCLAP::ValueArg<std::string> listen;
    TCLAP::ValueArg<std::string> address;
    TCLAP::ValueArg<std::string> entries;
    TCLAP::ValueArg<std::string> service;
    TCLAP::ValueArg<std::string> version;
    TCLAP::ValueArg<std::string> id;
    TCLAP::ValueArg<std::string> vm;
    TCLAP::ValueArg<std::string> data_centre;
    TCLAP::ValueArg<std::string> zone;
    TCLAP::ValueArg<std::string> machine_class;
    TCLAP::SwitchArg reclaimable;
    TCLAP::ValueArg<std::string> token;
    TCLAP::ValueArg<int> grace;
};

} // namespace lagoonladder::fakes

#endif
