#pragma once

#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

/// Look-ups in one version of the routing configuration.
namespace vanilladyke {

/// @brief KV-cache transfer rates in tokens per millisecond; 0 if not configured.
struct TransferRates
{
    double engine = 0;
    double kept = 0; ///< of the kept-cache store
};

/// @brief Index of a configuration. Immutable, so that threads may share it.
class RouteTable
{
public:
    explicit RouteTable(RoutingConfig config);

    [[nodiscard]] const RoutingConfig &config() const { return m_config; }
    /// @brief The route of the host with the longest path prefix that matches; null if none.
    /// @param host as received; the port and upper case are ignored
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const RoutedCustomer *customerOf(const std::string &key) const;
    [[nodiscard]] const ServiceSpec *service(const ServiceId &id) const;
    /// @brief The kept-cache stores that the configuration names.
    [[nodiscard]] std::vector<KeptStore> keptStores() const;
    /// @brief The highest configured rates at which engines and the kept-cache store transfer KV
    /// cache.
    [[nodiscard]] TransferRates transferRates() const;
    /// @brief The group of customers that share cached work with this one. An isolated customer is
    /// its own group. The group of all others is named after the set of isolated customers: what a
    /// customer's requests cached before it was isolated is not found by the others afterwards,
    /// and every node derives the same name from the configuration alone.
    /// @param customer null: a request without a key
    [[nodiscard]] std::string cacheGroup(const RoutedCustomer *customer) const;
    [[nodiscard]] bool needsKeys() const { return !m_config.customers.empty(); }
    /// @brief Selects one of the route's services by weight. @param draw random number in [0, 1)
    [[nodiscard]] static ServiceId pickService(const Route &route, double draw);

private:
    RoutingConfig m_config;
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost; ///< longest prefix first
    std::unordered_map<std::string, std::size_t> m_byKey;
    std::unordered_map<ServiceId, std::size_t> m_byService;
    std::string m_sharingGroup; ///< of all customers that are not isolated
};

} // namespace vanilladyke
