#ifndef LAGOONLADDER_DAEMON_TOKEN_LENDING_HPP
#define LAGOONLADDER_DAEMON_TOKEN_LENDING_HPP

#include <functional>
#include <memory>
#include <vector>

#include <asio.hpp>

#include <lagoonladder/control.hpp>

namespace lagoonladder::daemon
{

/// Asks other entries for tokens of an account's quota. Used on its event loop only.
class token_lending
{
public:
    using late_tokens = std::function<void(account_id const& account, double tokens)>;

    /// `late` gets the tokens that came after their call had gone on.
    token_lending(std::shared_ptr<asio::io_context> loop, control::peer_channels& channels,
                  std::uint64_t seed, late_tokens late);

    /// Asks all lenders at once for a part each. `done` gets what came until it was enough
    /// for `missing` or all have answered.
    void ask_all(account_id const& account, std::vector<network_address> const& lenders,
                 double missing, std::function<void(double)> done);
    /// Asks one keeper for all that is missing, and a second one if it has too little.
    void ask_keepers(account_id const& account, std::vector<network_address> keepers,
                     double missing, std::function<void(double)> done);

private:
    void ask(account_id const& account, std::vector<network_address> const& lenders, double missing,
             double part, std::function<void(double)> done);

    std::shared_ptr<asio::io_context> context;
    control::peer_channels& peers;
    seeded_random random;
    late_tokens deposit;
};

} // namespace lagoonladder::daemon

#endif
