#pragma once

#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/policy/ejection.hpp"
#include "vanilladyke/policy/slot_share.hpp"

#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace vanilladyke {

/// @brief What this node may use of each engine, and does: shares, requests under way, ejections.
/// Every member may be called from any thread.
class EngineSlots
{
public:
    /// @brief Takes in the load reports of a newly published fleet.
    /// @param waiting models for which requests wait at this node
    void refresh(const Fleet &fleet, const std::vector<ModelId> &waiting, TimePoint now);
    /// @brief Requests of the model that this node may have under way, over all engines.
    [[nodiscard]] std::uint32_t slotsFor(const ModelId &model, const Fleet &fleet,
                                         TimePoint now) const;
    /// @brief Engines that must get no request of the model now: ejected ones, and, unless all the
    /// others are full, those where this node's share is used up.
    /// @param tried engines that failed the request; being open does not help it
    [[nodiscard]] std::vector<EngineId> closedFor(const ModelId &model, const Fleet &fleet,
                                                  const std::vector<EngineId> &tried,
                                                  TimePoint now) const;
    /// @brief Counts a request that is sent to the engine.
    void begin(const EngineId &engine, const ModelId &model);
    void end(const EngineId &engine, const ModelId &model);
    /// @brief Takes in how an exchange went, and logs an ejection that follows from it.
    void observe(const ExchangeObservation &seen, const Fleet &fleet, TimePoint now);
    /// @brief When the first ejected engine of the model may be used again; none if none is.
    [[nodiscard]] std::optional<TimePoint> firstReturn(const ModelId &model, const Fleet &fleet,
                                                       TimePoint now) const;

private:
    struct Use
    {
        SlotShare share;
        TimePoint reportedAt;
        double rounding = 0;
        std::map<ModelId, std::uint32_t> underWay;

        [[nodiscard]] std::uint32_t total() const;
    };

    [[nodiscard]] std::uint32_t usable(const EngineView &engine, TimePoint now) const;
    [[nodiscard]] bool full(const EngineView &engine, TimePoint now) const;

    mutable std::mutex m_mutex;
    std::unordered_map<EngineId, Use> m_uses;
    Ejection m_ejection;
};

/// @brief One request under way at an engine; ending the object gives its place back.
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
