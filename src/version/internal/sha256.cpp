#include <array>
#include <memory>

#include <openssl/evp.h>

#include <lagoonladder/version/configuration.hpp>

namespace lagoonladder::version
{

std::string sha256_hex(std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> const context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    bool const made = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
                      EVP_DigestUpdate(context.get(), text.data(), text.size()) == 1 &&
                      EVP_DigestFinal_ex(context.get(), digest.data(), &size) == 1;
    invariant(made, "SHA-256 is available");
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i)
    {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

} // namespace lagoonladder::version
