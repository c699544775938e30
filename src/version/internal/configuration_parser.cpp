#include <algorithm>

#include <lagoonladder/version/configuration.hpp>

namespace lagoonladder::version
{

namespace
{

/// Builds a configuration from the sections of a file.
class configuration_parser
{
public:
    explicit configuration_parser(ini_document const& source)
        : document(source)
    {
    }

    configuration parse()
    {
        // Services are added first, because a route may refer to one further down in the file.
        for (auto const& section : this->document.sections)
            this->check_kind(section);
        for (auto const& section : this->document.sections)
        {
            if (section.kind == "service")
                this->add_service(section);
        }
        for (auto const& section : this->document.sections)
        {
            if (section.kind == "route")
                this->add_route(section);
            else if (section.kind == "account")
                this->add_account(section);
        }
        return std::move(this->result);
    }

private:
    void check_kind(ini_section const& section) const
    {
        ini_section_reader const reader(this->document, section);
        if (section.kind != "service" && section.kind != "route" && section.kind != "account")
            reader.fail("unknown kind of section; valid kinds are service, route and account");
        if (section.name.empty())
            reader.fail("the section needs a name");
    }

    void add_service(ini_section const& section)
    {
        this->document.require_known_keys(section, {"kind", "version", "finish_by", "finish_within",
                                                    "on_undecided", "watch", "default_timeout",
                                                    "draft_timeout", "progress_timeout",
                                                    "retry_budget", "status_lookup"});
        ini_section_reader const reader(this->document, section);
        service_config service;
        service.name = service_name(section.name);
        reader.read_choice("kind", service.kind, "model_engine", service_kind::model_engine,
                           "plain", service_kind::plain);
        service.version = version_name(reader.require("version"));
        reader.read("finish_by", service.finish_by);
        reader.read("finish_within", service.finish_within);
        reader.read_choice("on_undecided", service.on_undecided, "finish", undecided_choice::finish,
                           "reverse", undecided_choice::reverse);
        reader.read("watch", service.watch);
        reader.read("default_timeout", service.default_timeout);
        reader.read("draft_timeout", service.draft_timeout);
        if (service.kind == service_kind::plain)
            service.progress_timeout = service_config::plain_progress_timeout;
        reader.read("progress_timeout", service.progress_timeout);
        reader.read_number("retry_budget", service.retry_budget, 0, 1);
        reader.read("status_lookup", service.status_lookup);
        auto const& lookup = service.status_lookup;
        if (!lookup.empty() && (lookup.front() != '/' || lookup.find("{key}") == std::string::npos))
            reader.fail_at("status_lookup", "must be a path with {key}");
        this->result.services.emplace(service.name, service);
    }

    void add_route(ini_section const& section)
    {
        this->document.require_known_keys(section, {"service", "method", "path", "idempotent"});
        ini_section_reader const reader(this->document, section);
        route_config route;
        route.name = route_name(section.name);
        route.service = service_name(reader.require("service"));
        if (this->result.find_service(route.service) == nullptr)
            reader.fail_at("service", "unknown service \"" + route.service.value() + "\"");
        reader.read("method", route.method);
        bool const is_upper_case =
            !route.method.empty() && std::all_of(route.method.begin(), route.method.end(),
                                                 [](char c) { return c >= 'A' && c <= 'Z'; });
        if (route.method != "*" && !is_upper_case)
            reader.fail_at("method", "must be * or a method in capital letters");
        reader.read("path", route.path);
        if (route.path.empty() || route.path.front() != '/')
            reader.fail_at("path", "must start with /");
        reader.read("idempotent", route.idempotent);
        route.idempotent_by_method = section.find("idempotent") == nullptr;
        if (route.idempotent_by_method)
            route.idempotent =
                route.method == "GET" || route.method == "HEAD" || route.method == "OPTIONS";
        this->check_unique(reader, route);
        this->result.routes.push_back(route);
    }

    void check_unique(ini_section_reader const& reader, route_config const& route) const
    {
        for (auto const& other : this->result.routes)
        {
            if (other.service == route.service && other.method == route.method &&
                other.path == route.path)
                reader.fail("same service, method and path as [route " + other.name.value() + "]");
        }
    }

    void add_account(ini_section const& section)
    {
        this->document.require_known_keys(section, {"key_sha256", "share"});
        ini_section_reader const reader(this->document, section);
        account_config account;
        account.name = account_id(section.name);
        account.key_sha256 = reader.require("key_sha256");
        bool const is_digest =
            account.key_sha256.size() == 64 &&
            account.key_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!is_digest)
            reader.fail_at("key_sha256", "must be 64 lower-case hexadecimal digits");
        if (auto const* other = this->result.find_account_by_key_hash(account.key_sha256))
            reader.fail_at("key_sha256", "same key as [account " + other->name.value() + "]");
        reader.read_count("share", account.share, 1, 1'000'000);
        this->result.accounts.emplace(account.name, account);
    }

    ini_document const& document;
    configuration result;
};

} // namespace

configuration parse_configuration(std::string const& file, std::string const& text)
{
    try
    {
        auto const document = parse_ini(file, text);
        return configuration_parser(document).parse();
    }
    catch (parse_error const& failure)
    {
        throw configuration_error(failure.what());
    }
}

} // namespace lagoonladder::version
