#pragma once

#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/policy/ejection.hpp"
#include "vanilladyke/policy/slot_share.hpp"

#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace vanilladyke {

/// @brief This node's use of each engine: its share of the slots, requests in flight and ejections.
/// Thread-safe.
class EngineSlots
{
public:
    /// @brief Applies the load reports of a newly published fleet.
    /// @param waiting models that have queued requests at this node
    void refresh(const Fleet &fleet, const std::vector<ModelId> &waiting, TimePoint now);
    /// @brief Requests of the model that this node may have in flight, over all engines.
    [[nodiscard]] std::uint32_t slotsFor(const ModelId &model, const Fleet &fleet,
                                         TimePoint now) const;
    /// @brief Engines excluded for the model now: ejected engines, and engines where this node's
    /// share is used up, unless all the others are full.
    /// @param tried engines that failed the request; they don't count as available
    [[nodiscard]] std::vector<EngineId> excludedFor(const ModelId &model, const Fleet &fleet,
                                                    const std::vector<EngineId> &tried,
                                                    TimePoint now) const;
    /// @brief Counts a request sent to the engine.
    void begin(const EngineId &engine, const ModelId &model);
    void end(const EngineId &engine, const ModelId &model);
    /// @brief Records the result of an exchange and logs an ejection that it causes.
    void observe(const ExchangeObservation &observed, const Fleet &fleet, TimePoint now);
    /// @brief When the first ejected engine of the model may be used again; none if none is
    /// ejected.
    [[nodiscard]] std::optional<TimePoint>
    earliestReadmission(const ModelId &model, const Fleet &fleet, TimePoint now) const;

private:
    struct Use
    {
        SlotShare share;
        TimePoint reportedAt;
        double rounding = 0;
        std::map<ModelId, std::uint32_t> inFlight;

        [[nodiscard]] std::uint32_t total() const;
    };

    [[nodiscard]] std::uint32_t usable(const EngineView &engine, TimePoint now) const;
    [[nodiscard]] bool full(const EngineView &engine, TimePoint now) const;

    mutable std::mutex m_mutex;
    std::unordered_map<EngineId, Use> m_uses;
    Ejection m_ejection;
};

/// @brief Counts one request in flight at an engine until destroyed.
class EngineUse
{
public:
    EngineUse(EngineSlots &engines, EngineId engine, ModelId model)
        : m_engines(engines)
        , m_engine(std::move(engine))
        , m_model(std::move(model))
    {
        m_engines.begin(m_engine, m_model);
    }
    EngineUse(const EngineUse &) = delete;
    EngineUse &operator=(const EngineUse &) = delete;
    ~EngineUse() { m_engines.end(m_engine, m_model); }

private:
    EngineSlots &m_engines;
    EngineId m_engine;
    ModelId m_model;
};

} // namespace vanilladyke
