#include "vanilladyke/model/customer_index.hpp"

namespace vanilladyke {

CustomerIndex::CustomerIndex(std::shared_ptr<const Bundle> bundle)
    : m_bundle(std::move(bundle))
{
    const std::vector<Customer> &customers = m_bundle->customers;
    m_byId.reserve(customers.size());
    m_byDigest.reserve(customers.size());
    for (std::size_t i = 0; i < customers.size(); ++i) {
        m_byId.emplace(customers[i].id, i);
        for (const std::string &digest : customers[i].keyDigests) {
            m_byDigest.emplace(digest, i);
        }
    }
}

const Customer *CustomerIndex::byKeyDigest(const std::string &digest) const
{
    const auto found = m_byDigest.find(digest);
    return found == m_byDigest.end() ? nullptr : &m_bundle->customers[found->second];
}

const Customer *CustomerIndex::byId(const CustomerId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &m_bundle->customers[found->second];
}

} // namespace vanilladyke
