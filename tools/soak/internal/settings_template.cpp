#include <lagoonladder/soak.hpp>

namespace lagoonladder::soak
{

namespace
{

using nlohmann::json;

constexpr std::size_t mark_size = 2;

std::vector<std::string> split_name(std::string const& name)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (;;)
    {
        auto const dot = name.find('.', begin);
        parts.push_back(name.substr(begin, dot - begin));
        if (dot == std::string::npos)
            return parts;
        begin = dot + 1;
    }
}

/// Returns nullptr when there is no value.
json const* find_value(json const& fields, std::string const& name)
{
    auto const* value = &fields;
    for (auto const& part : split_name(name))
    {
        bool const is_index =
            !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
        if (value->is_object() && value->contains(part))
            value = &(*value)[part];
        else if (value->is_array() && is_index && std::stoul(part) < value->size())
            value = &(*value)[std::stoul(part)];
        else
            return nullptr;
    }
    return value->is_null() ? nullptr : value;
}

std::string render_value(json const& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.dump();
    std::string text;
    for (auto const& item : value)
        text += (text.empty() ? "" : ",") + render_value(item);
    return text;
}

bool is_present(json const* value)
{
    if (value == nullptr || *value == false)
        return false;
    return !(value->is_array() || value->is_object()) || !value->empty();
}

void require_plain_name(std::string const& name)
{
    bool const is_plain = !name.empty() && name.find_first_of("|@,{ ") == std::string::npos;
    if (!is_plain || name == ".")
        throw input_error("settings template: {{" + name + "}} is not supported");
}

std::string fill(std::string const& text, json const& fields);

/// Renders the section that begins at `position` and moves `position` behind it.
std::string fill_section(std::string const& text, json const& fields, std::string const& mark,
                         std::size_t& position)
{
    auto const name = mark.substr(1);
    require_plain_name(name);
    auto const end_mark = "{{/" + name + "}}";
    auto const end = text.find(end_mark, position);
    if (end == std::string::npos)
        throw input_error("settings template: the section " + name + " has no end");
    if (text[position] == '\n')
        ++position;
    auto const inner = text.substr(position, end - position);
    position = end + end_mark.size();
    if (position < text.size() && text[position] == '\n')
        ++position;
    auto const* const value = find_value(fields, name);
    bool const is_shown = is_present(value) == (mark[0] == '#');
    if (is_shown && mark[0] == '#' && (value->is_array() || value->is_object()))
        throw input_error("settings template: the section " + name + " repeats");
    return is_shown ? fill(inner, fields) : "";
}

std::string fill(std::string const& text, json const& fields)
{
    std::string result;
    std::size_t position = 0;
    for (;;)
    {
        auto const begin = text.find("{{", position);
        result += text.substr(position, begin - position);
        if (begin == std::string::npos)
            return result;
        auto const end = text.find("}}", begin);
        if (end == std::string::npos)
            throw input_error("settings template: a placeholder has no end");
        auto const mark = text.substr(begin + mark_size, end - begin - mark_size);
        position = end + mark_size;
        if (!mark.empty() && (mark[0] == '#' || mark[0] == '^'))
        {
            result += fill_section(text, fields, mark, position);
            continue;
        }
        require_plain_name(mark);
        if (auto const* const value = find_value(fields, mark))
            result += render_value(*value);
    }
}

} // namespace

std::string fill_template(std::string const& text, json const& fields)
{
    return fill(text, fields);
}

} // namespace lagoonladder::soak
