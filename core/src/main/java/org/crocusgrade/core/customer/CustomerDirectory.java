package org.crocusgrade.core.customer;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.CustomerId;

/**
 * The customers of one version of the configuration, with their keys. Immutable.
 *
 * <p>A configuration that names no customers serves every caller without a key.
 */
public final class CustomerDirectory {
    /** The directory of a configuration that names no customers. */
    public static final CustomerDirectory NONE = new CustomerDirectory(false, List.of());

    private final boolean enabled;
    private final Map<CustomerId, Customer> byId = new LinkedHashMap<>();
    private final Map<ApiKey, Customer> byKey = new HashMap<>();

    private CustomerDirectory(boolean enabled, Collection<Customer> customers) {
        this.enabled = enabled;
        for (Customer customer : customers) {
            if (byId.put(customer.id(), customer) != null) {
                throw new IllegalArgumentException("two customers are named " + customer.id());
            }
            for (ApiKey key : customer.keys()) {
                Customer other = byKey.put(key, customer);
                if (other != null) {
                    throw new IllegalArgumentException(
                            "customers "
                                    + other.id()
                                    + " and "
                                    + customer.id()
                                    + " have an API key in common");
                }
            }
        }
    }

    /**
     * Returns the directory of a configuration that names these customers, perhaps none.
     *
     * @throws IllegalArgumentException if two customers have the same name or a key in common
     */
    public static CustomerDirectory of(Collection<Customer> customers) {
        return new CustomerDirectory(true, customers);
    }

    /** Returns whether calls to queues that are not open need a key. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Returns the customer that a key belongs to. */
    public Optional<Customer> byKey(ApiKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns a customer by its name. */
    public Optional<Customer> find(CustomerId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns the customers, in the order of the configuration. */
    public Collection<Customer> customers() {
        return byId.values();
    }
}
