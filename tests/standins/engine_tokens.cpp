#include "engine_tokens.hpp"

#include <boost/crc.hpp>

#include <array>
#include <cstdio>
#include <stdexcept>

namespace standin {

std::uint32_t checksum(const std::string &text)
{
    boost::crc_32_type sum;
    sum.process_bytes(text.data(), text.size());
    return sum.checksum();
}

std::string tokenAt(std::uint32_t promptSum, std::uint32_t index)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x ",
                  checksum(std::to_string(promptSum) + ":" + std::to_string(index)));
    return text.data();
}

std::uint32_t promptChecksum(const nlohmann::json &body, std::uint32_t have)
{
    std::string prompt;
    if (body.contains("prompt")) {
        prompt = body["prompt"];
    } else {
        for (const auto &message : body.at("messages")) {
            prompt += message.at("content").get<std::string>();
        }
    }
    const std::size_t answerBytes = TokenBytes * have;
    if (prompt.size() < answerBytes) {
        throw std::invalid_argument("the prompt holds no such answer");
    }
    const std::string answer = prompt.substr(prompt.size() - answerBytes);
    const std::uint32_t sum = checksum(prompt.substr(0, prompt.size() - answerBytes));
    std::string expected;
    for (std::uint32_t i = 0; i < have; ++i) {
        expected += tokenAt(sum, i);
    }
    if (answer != expected) {
        throw std::invalid_argument("the prompt ends with another answer");
    }
    return sum;
}

} // namespace standin
