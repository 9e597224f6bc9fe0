#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/experiment/sim_request.hpp"
#include "vanilladyke/model/fleet.hpp"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

/// A model engine in virtual time: slots, one prefill at a time, decoding at a fixed rate for each
/// stream, and a least-recently-used cache of prefix blocks.
namespace vanilladyke {

/// @brief What an engine can do.
struct EngineSpec
{
    std::uint32_t slots = 32;
    double prefillTokensPerSecond = 10'000;
    double decodeTokensPerSecond = 50;
    std::uint64_t cacheTokens = 60'000;
};

/// @brief What the engine's cache took in or gave up.
struct CacheChange
{
    bool stored = false;
    ChainHash hash;
};

/// @brief Prefix blocks in the order of their last use. A block counts only while all before it do.
class BlockCache
{
public:
    explicit BlockCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {}

    /// @brief Tokens of the longest prefix that is held.
    [[nodiscard]] std::uint32_t cachedTokens(const PrefixChain &chain) const;
    /// @brief Takes in or refreshes the whole chain; what had to go is added to the changes.
    void use(const PrefixChain &chain, std::vector<CacheChange> &changes);

private:
    struct Block
    {
        std::uint32_t tokens = 0;
        std::list<ChainHash>::iterator place;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_used = 0;
    std::unordered_map<ChainHash, Block> m_blocks;
    std::list<ChainHash> m_order; ///< most recently used first
};

/// @brief The end of a request's prefill, or of the request.
struct EngineStep
{
    enum class Kind { FirstToken, Finished };

    TimePoint at;
    Kind kind = Kind::FirstToken;
    std::size_t request = 0;        ///< index into the trace
    std::uint32_t cachedTokens = 0; ///< found in the cache, for FirstToken
};

/// @brief One engine. Whoever drives it hands each step that it returns back at the step's time.
class EngineModel
{
public:
    explicit EngineModel(const EngineSpec &spec)
        : m_spec(spec)
        , m_cache(spec.cacheTokens)
    {}

    void submit(std::size_t index, const SimRequest &request, TimePoint now,
                std::vector<EngineStep> &next);
    /// @brief A step that was handed out has come about.
    void happened(const EngineStep &step, TimePoint now, std::vector<EngineStep> &next);

    [[nodiscard]] LoadReport load(TimePoint now) const;
    /// @brief Tokens of the prompt that it holds at the moment.
    [[nodiscard]] std::uint32_t cachedTokens(const PrefixChain &chain) const
    {
        return m_cache.cachedTokens(chain);
    }
    [[nodiscard]] const EngineSpec &spec() const { return m_spec; }
    /// @brief Cache changes since the last call.
    [[nodiscard]] std::vector<CacheChange> takeChanges();
    /// @brief Slows the engine down, as a failing accelerator does; 1 is full speed.
    void setSpeed(double speed) { m_speed = speed; }

private:
    struct Job
    {
        std::size_t index = 0;
        const SimRequest *request = nullptr;
    };

    void startWhatFits(TimePoint now, std::vector<EngineStep> &next);

    EngineSpec m_spec;
    BlockCache m_cache;
    double m_speed = 1;
    std::deque<Job> m_waiting; ///< no slot yet
    std::deque<Job> m_prefill; ///< in a slot, prefill not done; the first is being computed
    std::uint32_t m_running = 0;
    bool m_computing = false;
    std::uint32_t m_foundTokens = 0;
    std::uint64_t m_currentMissing = 0;
    std::vector<CacheChange> m_changes;
};

} // namespace vanilladyke
