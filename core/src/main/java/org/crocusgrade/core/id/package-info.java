/** Value types for the ids of the fleet: each checks its text on construction. */
package org.crocusgrade.core.id;
