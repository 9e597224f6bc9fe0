#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Which engines most likely hold a shared part, from the requests that any node sent there.
///
/// Load pattern: 72 nodes, a thousand brand guides, and engines whose memory holds fourteen. The
/// fleet sends a guide every four seconds, a single node once in five minutes, so that from its own
/// requests no node knows where a guide is; and by the time that it comes again half of the engines
/// have pushed theirs out. An engine's memory drops what was used longest ago, so that what was
/// written since a part's last use tells whether the part is still there.
namespace vanilladyke {

/// @brief One node's view. Pure. Parts and servers are named by hashes, as nodes tell them.
class PartHolders
{
public:
    /// Longer ago than this too much may have happened that no node tells.
    static constexpr Duration Life = std::chrono::seconds(30);
    /// Where an engine's memory is not known.
    static constexpr Duration UnknownLife = std::chrono::seconds(8);
    /// Of an engine's memory that holds parts; the rest is taken by requests that run.
    static constexpr double CachePart = 0.75;
    static constexpr std::size_t MostHolders = 4; ///< of a part; the oldest gives way
    static constexpr std::size_t MostParts = 65536;

    /// @brief A request with the part went to the server.
    struct Use
    {
        std::uint64_t part = 0;
        std::uint64_t backend = 0;
        std::uint64_t weights = 0; ///< version under which the part is read
        std::uint64_t written = 0; ///< tokens that it adds to the engine's memory
    };

    /// @brief What is asked about.
    struct Question
    {
        std::uint64_t part = 0;
        std::uint64_t weights = 0;
        std::uint64_t tokens = 0;       ///< of the part
        std::uint64_t memoryTokens = 0; ///< of an engine; 0: not known
    };

    void used(const Use &use, TimePoint now);
    [[nodiscard]] bool holds(const Question &question, std::uint64_t backend, TimePoint now) const;
    /// @brief All that most likely hold the part; the last used last.
    [[nodiscard]] std::vector<std::uint64_t> holders(const Question &question, TimePoint now) const;
    /// @brief Servers that were sent the part, whatever became of it.
    [[nodiscard]] std::vector<std::uint64_t> backends(std::uint64_t part) const;
    [[nodiscard]] std::size_t size() const { return m_parts.size(); }

private:
    struct Holder
    {
        std::uint64_t backend = 0;
        std::uint64_t weights = 0;
        TimePoint at;           ///< of the last use
        std::uint64_t mark = 0; ///< what had been written to the engine by then
    };

    [[nodiscard]] bool isThere(const Holder &holder, const Question &question, TimePoint now) const;
    void forgetOld(TimePoint now);

    std::unordered_map<std::uint64_t, std::vector<Holder>> m_parts;
    std::unordered_map<std::uint64_t, std::uint64_t> m_written; ///< tokens, by server
    std::size_t m_sinceCleaning = 0;
};

} // namespace vanilladyke
