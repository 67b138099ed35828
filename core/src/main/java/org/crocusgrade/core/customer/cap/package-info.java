/**
 * Keeps what each customer has running on the workers of all pools within its resource cap: the
 * holder of the fleet duty divides a cap over the pools, the owner of a pool obeys its part.
 */
package org.crocusgrade.core.customer.cap;
