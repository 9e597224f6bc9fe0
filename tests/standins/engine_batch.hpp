#pragma once

#include "engine_cache.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace standin {

/// A model that the engine holds or is told to hold.
struct Weights
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const Weights &) const = default;
};

/// What the program was started with.
struct Options
{
    std::string id;
    std::uint32_t slots = 8;
    Milliseconds step{5};        ///< time of one token for every running stream
    double prefillRate = 10'000; ///< tokens a second, shared by all streams
    std::uint64_t cacheTokens = 200'000;
    Milliseconds reportLag{0};
    Milliseconds eventLag{0};
    Milliseconds load{2000};
    bool fencing = true;
};

/// One generation; it goes on whether or not anybody reads it.
struct Stream
{
    enum class State { Waiting, Running, Finished, Cancelled, Lost };

    std::string id;
    std::string request;
    std::vector<std::string> attempts; ///< that have read it
    std::string path;
    Weights weights;
    int priority = 1; ///< lower goes first
    Chain chain;
    std::uint32_t promptSum = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    double prefillLeft = 0;
    std::uint32_t start = 0;    ///< tokens that the prompt already held
    std::uint32_t produced = 0; ///< tokens made so far, `start` included
    std::uint32_t wanted = 0;
    State state = State::Waiting;
    Clock::time_point endedAt;
    std::condition_variable changed;

    [[nodiscard]] bool over() const { return state > State::Running; }
};

using StreamPtr = std::shared_ptr<Stream>;

/// An order to hold models and take a role.
struct Order
{
    std::uint64_t fencing = 0;
    std::uint64_t sequence = 0;
    std::vector<Weights> models;
    std::string role = "serving";
};

/// The engine proper: waiting streams, the running batch, the cache, the models held.
/// Every member but the constructor wants `mutex` held.
class Batch
{
public:
    Batch(const Options &options, const Weights &held);
    ~Batch();

    [[nodiscard]] const Weights *held(const std::string &model) const;
    [[nodiscard]] StreamPtr find(const std::string &id) const;
    void add(const StreamPtr &stream);
    void cancel(Stream &stream);
    /// Forgets everything and starts again as a later incarnation.
    void crash();
    /// @return false if a newer order was taken before
    bool order(const Order &order);
    [[nodiscard]] nlohmann::json state() const;
    [[nodiscard]] nlohmann::json log() const;

    std::mutex mutex;
    std::uint64_t incarnation = 0;
    std::uint64_t highestFencing = 0;
    PrefixCache cache;
    double slowness = 1;
    Clock::time_point frozenUntil;

private:
    void run(const std::stop_token &stop);
    void step();
    void admit();
    void prefill();
    void decode();
    void finishLoad();
    void forgetOld();
    void end(Stream &stream, Stream::State state);
    [[nodiscard]] nlohmann::json report() const;

    Options m_options;
    std::vector<Weights> m_held;
    std::vector<Weights> m_loading;
    Clock::time_point m_loadedAt;
    std::string m_role = "serving";
    std::uint64_t m_highestSequence = 0;
    std::unordered_map<std::string, StreamPtr> m_streams;
    std::deque<StreamPtr> m_waiting;
    std::vector<StreamPtr> m_running;
    std::deque<std::pair<Clock::time_point, nlohmann::json>> m_reports;
    nlohmann::json m_orders = nlohmann::json::array();
    nlohmann::json m_lost = nlohmann::json::array(); ///< log of streams before a crash
    std::condition_variable_any m_wake;
    std::jthread m_thread;
};

} // namespace standin
