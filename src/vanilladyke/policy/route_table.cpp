#include "vanilladyke/policy/route_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <numeric>
#include <set>

namespace vanilladyke {

namespace {

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

/// Empty if no customer is isolated; does not depend on the order of the customers.
std::string sharingGroup(const std::vector<RoutedCustomer> &customers)
{
    std::set<std::string_view> isolated;
    for (const RoutedCustomer &each : customers) {
        if (each.isIsolated) {
            isolated.insert(each.id.str());
        }
    }
    if (isolated.empty()) {
        return {};
    }
    std::uint64_t hash = 0;
    for (const std::string_view name : isolated) {
        hash = XXH3_64bits_withSeed(name.data(), name.size(), hash);
    }
    // The slash sets it apart from the name of a customer.
    return "/" + std::to_string(hash);
}

} // namespace

RouteTable::RouteTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (std::size_t i = 0; i < m_config.routes.size(); ++i) {
        m_byHost[hostName(m_config.routes[i].host)].push_back(i);
    }
    for (auto &[host, indices] : m_byHost) {
        std::stable_sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
            return m_config.routes[a].pathPrefix.size() > m_config.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < m_config.customers.size(); ++i) {
        for (const std::string &key : m_config.customers[i].keys) {
            m_byKey.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < m_config.services.size(); ++i) {
        m_byService.emplace(m_config.services[i].id, i);
    }
    m_sharingGroup = sharingGroup(m_config.customers);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(hostName(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view plain = path.substr(0, path.find('?'));
    for (const std::size_t index : found->second) {
        const Route &route = m_config.routes[index];
        if (plain.substr(0, route.pathPrefix.size()) == route.pathPrefix) {
            return &route;
        }
    }
    return nullptr;
}

const RoutedCustomer *RouteTable::customerOf(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_config.customers[found->second];
}

std::string RouteTable::cacheGroup(const RoutedCustomer *customer) const
{
    const bool isIsolated = customer != nullptr && customer->isIsolated;
    return isIsolated ? customer->id.str() : m_sharingGroup;
}

const ServiceSpec *RouteTable::service(const ServiceId &id) const
{
    const auto found = m_byService.find(id);
    return found == m_byService.end() ? nullptr : &m_config.services[found->second];
}

std::vector<KeptStore> RouteTable::keptStores() const
{
    std::vector<KeptStore> stores;
    for (const ServiceSpec &service : m_config.services) {
        if (service.keptCache) {
            stores.push_back({*service.keptCache, service.dataCentre.value_or(DataCentreId())});
        }
    }
    return stores;
}

TransferRates RouteTable::transferRates() const
{
    TransferRates rates;
    for (const ServiceSpec &service : m_config.services) {
        double &rate = service.keptCache ? rates.kept : rates.engine;
        rate = std::max(rate, service.transferTokensPerMs);
    }
    return rates;
}

ServiceId RouteTable::pickService(const Route &route, double draw)
{
    const double total =
            std::accumulate(route.split.begin(), route.split.end(), 0.0,
                            [](double sum, const ServiceShare &s) { return sum + s.weight; });
    double left = draw * total;
    for (const ServiceShare &share : route.split) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return route.split.empty() ? ServiceId() : route.split.back().service;
}

} // namespace vanilladyke
