#include "endpoint_options.hpp"

#include <sstream>

namespace lagoonladder::fakes
{

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

endpoint_arguments::endpoint_arguments(TCLAP::CmdLine& command)
    : listen("", "listen", "address to serve", true, "", "HOST:PORT", command)
    , address("", "address", "announced address; default is the listen address", false, "",
              "HOST:PORT", command)
    , entries("", "entries", "entries to announce to, comma-separated", false, "", "LIST", command)
    , service("", "service", "service name", false, "advisor", "NAME", command)
    , version("", "version", "version name", false, "v1", "NAME", command)
    , id("", "id", "endpoint id; default is the listen address", false, "", "ID", command)
    , vm("", "vm", "VM id; default is the endpoint id", false, "", "ID", command)
    , data_centre("", "data-centre", "data centre", false, "dc1", "ID", command)
    , zone("", "zone", "zone; default is the data centre", false, "", "ID", command)
    , machine_class("", "machine-class", "machine class", false, "standard", "NAME", command)
    , reclaimable("", "reclaimable", "the VM is reclaimable", command)
    , token("", "endpoint-token", "token for announcements", false, "", "TOKEN", command)
    , grace("", "leave-grace-ms",
            "time to accept requests after announcing that the endpoint leaves", false, 3000, "MS",
            command)
{
}

endpoint_options endpoint_arguments::parsed() const
{
    endpoint_options result;
    result.listen = this->listen.getValue();
    result.address = this->address.isSet() ? this->address.getValue() : result.listen;
    result.entries = split_list(this->entries.getValue());
    result.service = this->service.getValue();
    result.version = this->version.getValue();
    result.id = this->id.isSet() ? this->id.getValue() : result.listen;
    result.vm = this->vm.isSet() ? this->vm.getValue() : result.id;
    result.data_centre = this->data_centre.getValue();
    result.zone = this->zone.isSet() ? this->zone.getValue() : result.data_centre;
    result.machine_class = this->machine_class.getValue();
    result.reclaimable = this->reclaimable.getValue();
    result.token = this->token.getValue();
    result.leave_grace = milliseconds(this->grace.getValue());
    return result;
}

} // namespace lagoonladder::fakes
