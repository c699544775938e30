#ifndef LAGOONLADDER_CLI_TEXT_TABLE_HPP
#define LAGOONLADDER_CLI_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace lagoonladder::cli
{

/// Rows of text in aligned columns, two spaces apart.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /// Adds a row. Control characters are replaced by '?', since cells hold text from the
    /// network that could otherwise send control sequences to the terminal.
    void add(std::vector<std::string> row);
    /// Returns whether the table has no row below the header.
    bool empty() const { return this->rows.size() == 1; }
    std::string str() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace lagoonladder::cli

#endif
