#include "text_table.hpp"

#include <algorithm>

namespace lagoonladder::cli
{

text_table::text_table(std::vector<std::string> header)
{
    this->rows.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row)
{
    for (auto& cell : row)
        std::replace_if(
            cell.begin(), cell.end(),
            [](unsigned char character) { return character < 0x20 || character == 0x7f; }, '?');
    row.resize(this->rows.front().size());
    this->rows.push_back(std::move(row));
}

std::string text_table::str() const
{
    std::vector<std::size_t> widths(this->rows.front().size());
    for (auto const& row : this->rows)
        for (std::size_t i = 0; i < widths.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string text;
    for (auto const& row : this->rows)
    {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

} // namespace lagoonladder::cli
