/** The customers on whose behalf callers submit work: their keys, weights and resource caps. */
package org.crocusgrade.core.customer;
